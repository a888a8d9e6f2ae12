package io.verbenatrack.scheduling.rules;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.scheduling.state.GangLease;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.RegionKey;
import io.verbenatrack.scheduling.state.SchedulingState;

/**
 * Packs every guaranteed gang into a region of its own, so that all guarantees can be
 * used at the same time.
 *
 * <p>
 * Regions correspond to the cells of HiveD (Zhao et al., OSDI 2020) without its fixed
 * hierarchy. Regions in use stay where they are; others may move when the fleet changes.
 * Gangs are placed in descending order of size by best fit, with bounded backtracking.
 * When not all fit, accounts with a higher degrade order lose their regions first.
 */
public final class GuaranteePacking {

	private static final int MAXIMUM_BACKTRACKING_STEPS = 4_000;

	/** Above this many pairs of gang and worker, the search does not backtrack. */
	private static final int MAXIMUM_BACKTRACKING_PAIRS = 40_000;

	private final SchedulingState state;

	private final RemainingCapacity remaining;

	private final TreeMap<RegionKey, GangShape> wanted = new TreeMap<>();

	private final TreeMap<RegionKey, GangPlacement> regions = new TreeMap<>();

	private final TreeMap<RegionKey, Integer> degradeOrders = new TreeMap<>();

	private int remainingSteps;

	private GuaranteePacking(SchedulingState state) {
		this.state = state;
		this.remaining = new RemainingCapacity(state.fleet());
		for (AccountDeclaration account : state.declarations().accounts()) {
			addWanted(account);
		}
	}

	private void addWanted(AccountDeclaration account) {
		for (int index = 0; index < account.guarantees().size(); index++) {
			Guarantee guarantee = account.guarantees().get(index);
			for (int gang = 0; gang < guarantee.count(); gang++) {
				RegionKey key = new RegionKey(account.id(), index, gang);
				this.wanted.put(key, guarantee.shape());
				this.degradeOrders.put(key, account.degradeOrder());
			}
		}
	}

	/**
	 * Finds a region for each guaranteed gang.
	 * @param state the state
	 * @return the region of each gang, and the gangs without one
	 */
	public static Packing pack(SchedulingState state) {
		return new GuaranteePacking(state).pack();
	}

	private Packing pack() {
		keepValidRegions();
		List<RegionKey> missing = missing();
		if (!missing.isEmpty() && !packAll(missing)) {
			repack();
		}
		return new Packing(this.regions, missing(), this.wanted);
	}

	private void keepValidRegions() {
		for (RegionKey key : this.state.regions().keys()) {
			GangPlacement region = this.state.regions().region(key).orElseThrow();
			GangShape shape = this.wanted.get(key);
			boolean sameSize = shape != null && shape.accelerators() == region.accelerators();
			if (sameSize && this.remaining.take(region, shape)) {
				this.regions.put(key, region);
			}
		}
	}

	private List<RegionKey> missing() {
		List<RegionKey> missing = new ArrayList<>(this.wanted.keySet());
		missing.removeAll(this.regions.keySet());
		missing.sort(largestFirst());
		return missing;
	}

	private Comparator<RegionKey> largestFirst() {
		return Comparator.comparingInt((RegionKey key) -> -this.wanted.get(key).accelerators())
			.thenComparing(Comparator.naturalOrder());
	}

	private Comparator<RegionKey> byDegradeOrder() {
		return Comparator.comparingInt((RegionKey key) -> this.degradeOrders.get(key)).thenComparing(largestFirst());
	}

	// Releases the unused regions and packs all missing gangs again, or as many as fit.
	private void repack() {
		Set<RegionKey> used = usedRegions();
		for (RegionKey key : List.copyOf(this.regions.keySet())) {
			if (!used.contains(key)) {
				this.remaining.release(this.regions.remove(key), this.wanted.get(key));
			}
		}
		List<RegionKey> unplaced = missing();
		if (packAll(unplaced)) {
			return;
		}
		unplaced.sort(byDegradeOrder());
		if (allowsBacktracking()) {
			packByAccount(unplaced);
		}
		else {
			packIndividually(unplaced);
		}
	}

	private Set<RegionKey> usedRegions() {
		Set<RegionKey> used = new HashSet<>();
		for (JobRecord job : this.state.jobs().holding()) {
			GangLease lease = job.lease().orElseThrow();
			this.state.regions().containing(job.spec().account(), lease.placement()).ifPresent(used::add);
		}
		return used;
	}

	private boolean allowsBacktracking() {
		return this.wanted.size() * this.state.fleet().workers().size() <= MAXIMUM_BACKTRACKING_PAIRS;
	}

	// Packs one account after the other, in full where possible and otherwise gang by
	// gang.
	private void packByAccount(List<RegionKey> inOrder) {
		List<RegionKey> packed = new ArrayList<>();
		int from = 0;
		while (from < inOrder.size()) {
			int end = endOfAccount(inOrder, from);
			List<RegionKey> extended = new ArrayList<>(packed);
			extended.addAll(inOrder.subList(from, end));
			extended.sort(largestFirst());
			release(packed);
			if (packAll(extended)) {
				packed = extended;
			}
			else {
				packed.sort(largestFirst());
				packAll(packed);
				packIndividually(inOrder.subList(from, end));
				packed.addAll(inOrder.subList(from, end).stream().filter(this.regions::containsKey).toList());
			}
			from = end;
		}
	}

	private static int endOfAccount(List<RegionKey> inOrder, int from) {
		int end = from;
		while (end < inOrder.size() && inOrder.get(end).account().equals(inOrder.get(from).account())) {
			end++;
		}
		return end;
	}

	private void release(List<RegionKey> keys) {
		for (RegionKey key : keys) {
			this.remaining.release(this.regions.remove(key), this.wanted.get(key));
		}
	}

	private void packIndividually(List<RegionKey> keys) {
		for (RegionKey key : keys) {
			Optional<GangPlacement> place = this.remaining.candidates(this.wanted.get(key)).stream().findFirst();
			place.ifPresent((region) -> bind(key, region));
		}
	}

	private void bind(RegionKey key, GangPlacement region) {
		this.remaining.take(region, this.wanted.get(key));
		this.regions.put(key, region);
	}

	private boolean packAll(List<RegionKey> keys) {
		int needed = keys.stream().mapToInt((key) -> this.wanted.get(key).accelerators()).sum();
		if (needed > this.remaining.freeAccelerators()) {
			return false;
		}
		this.remainingSteps = allowsBacktracking() ? MAXIMUM_BACKTRACKING_STEPS : keys.size();
		return packFrom(keys, 0);
	}

	private boolean packFrom(List<RegionKey> keys, int index) {
		if (index == keys.size()) {
			return true;
		}
		RegionKey key = keys.get(index);
		GangShape shape = this.wanted.get(key);
		for (GangPlacement candidate : this.remaining.candidates(shape)) {
			if (this.remainingSteps-- <= 0) {
				return false;
			}
			bind(key, candidate);
			if (packFrom(keys, index + 1)) {
				return true;
			}
			this.remaining.release(this.regions.remove(key), shape);
		}
		return false;
	}

	/**
	 * The result of packing the guaranteed gangs.
	 *
	 * @param regions the region of each gang that fits
	 * @param missing the gangs that do not fit
	 * @param shapes the shape of every guaranteed gang
	 */
	public record Packing(TreeMap<RegionKey, GangPlacement> regions, List<RegionKey> missing,
			TreeMap<RegionKey, GangShape> shapes) {

	}

}
