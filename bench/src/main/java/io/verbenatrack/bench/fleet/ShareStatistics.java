package io.verbenatrack.bench.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.verbenatrack.model.AccountId;

/**
 * Compares the earned credit of client accounts, and of the widest jobs of each class,
 * with the mean.
 */
final class ShareStatistics {

	private static final int WIDEST_DIVISOR = 10;

	/**
	 * An account with less than this share of the mean available credit has too few jobs
	 * for a comparison.
	 */
	private static final double MINIMUM_ACCOUNT_SHARE = 0.5;

	private final Map<AccountId, Credit> accounts = new HashMap<>();

	private final Map<String, List<Earned>> classes = new TreeMap<>();

	void add(ArrivingJob job, double earned) {
		this.accounts.computeIfAbsent(job.account(), (account) -> new Credit()).add(earned, job.credit());
		this.classes.computeIfAbsent(job.jobClass().name(), (name) -> new ArrayList<>())
			.add(new Earned(job.workMillis().length, earned, job.credit()));
	}

	/**
	 * Returns the earned share of the client account that earned the smallest one.
	 * @return from 0 to 1
	 */
	double worstAccountShare() {
		double mean = this.accounts.values().stream().mapToDouble((credit) -> credit.available).average().orElse(0);
		return this.accounts.values()
			.stream()
			.filter((credit) -> credit.available >= MINIMUM_ACCOUNT_SHARE * mean)
			.mapToDouble(Credit::share)
			.min()
			.orElse(0);
	}

	/**
	 * Returns the earned share of each class.
	 * @return from 0 to 1, by the name of the class
	 */
	Map<String, Double> classShares() {
		return shares(1);
	}

	/**
	 * Returns the earned share of the widest tenth of the jobs of each class.
	 * @return from 0 to 1, by the name of the class
	 */
	Map<String, Double> widestTenthShares() {
		return shares(WIDEST_DIVISOR);
	}

	private Map<String, Double> shares(int divisor) {
		Map<String, Double> shares = new TreeMap<>();
		this.classes.forEach((name, jobs) -> {
			Credit credit = new Credit();
			jobs.stream()
				.sorted(Comparator.comparingInt(Earned::width).reversed())
				.limit(Math.max(1, jobs.size() / divisor))
				.forEach((job) -> credit.add(job.earned(), job.available()));
			shares.put(name, credit.share());
		});
		return shares;
	}

	private record Earned(int width, double earned, double available) {

	}

	private static final class Credit {

		private double earned;

		private double available;

		void add(double moreEarned, double moreAvailable) {
			this.earned += moreEarned;
			this.available += moreAvailable;
		}

		double share() {
			return (this.available > 0) ? this.earned / this.available : 0;
		}

	}

}
