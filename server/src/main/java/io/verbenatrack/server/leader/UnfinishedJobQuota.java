package io.verbenatrack.server.leader;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingView;

/**
 * Limits the number of accepted jobs that have not ended, in total and for each client
 * account.
 */
final class UnfinishedJobQuota {

	private final int maximum;

	private final int maximumPerAccount;

	private final Map<JobId, AccountId> accountsByJob = new HashMap<>();

	private final Map<AccountId, Integer> countsByAccount = new HashMap<>();

	UnfinishedJobQuota(int maximum, int maximumPerAccount, SchedulingView view) {
		this.maximum = maximum;
		this.maximumPerAccount = maximumPerAccount;
		view.jobs().stream().filter((job) -> job.outcome().isEmpty()).forEach((job) -> add(job.job()));
	}

	/**
	 * Returns why another job of an account cannot be accepted.
	 * @param account the account
	 * @return the problem, or empty if the job can be accepted
	 */
	Optional<Problem> admissionProblem(AccountId account) {
		if (this.accountsByJob.size() >= this.maximum) {
			return Optional.of(overloaded("The system holds " + this.maximum + " unfinished jobs", "unfinished-jobs"));
		}
		if (this.countsByAccount.getOrDefault(account, 0) >= this.maximumPerAccount) {
			return Optional
				.of(overloaded("Client account " + account + " holds " + this.maximumPerAccount + " unfinished jobs",
						"unfinished-jobs-per-account"));
		}
		return Optional.empty();
	}

	private static Problem overloaded(String cause, String limit) {
		return new Problem(ProblemKind.OVERLOADED, cause + ", so this one was not taken.",
				"Submit it again when some have finished, or raise limits." + limit + ".");
	}

	void update(List<SchedulingDecision> decisions) {
		for (SchedulingDecision decision : decisions) {
			if (decision instanceof SchedulingDecision.AcceptJob accept) {
				add(accept.job());
			}
			else if (decision instanceof SchedulingDecision.EndJob end) {
				remove(end.job());
			}
		}
	}

	private void add(JobSpec job) {
		this.accountsByJob.put(job.id(), job.account());
		this.countsByAccount.merge(job.account(), 1, Integer::sum);
	}

	private void remove(JobId job) {
		AccountId account = this.accountsByJob.remove(job);
		if (account != null) {
			this.countsByAccount.merge(account, -1, Integer::sum);
		}
	}

}
