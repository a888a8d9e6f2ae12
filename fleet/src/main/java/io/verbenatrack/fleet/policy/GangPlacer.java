package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses workers for all members of a gang, or for none.
 *
 * <p>
 * A rack-sensitive gang is placed on a single rack: the one that holds its data if the
 * gang fits there, otherwise the one with the fewest free accelerators on which it fits.
 * It is spread over racks only when it exceeds the capacity of every rack, or when it has
 * waited too long. A place in one rack on slow workers comes before a spread over racks
 * on fast ones.
 */
final class GangPlacer {

	private final Collection<CandidateWorker> candidates;

	private final Reservations reservations;

	private final long nowMillis;

	/**
	 * Creates a placer.
	 * @param candidates the workers that are eligible for the gang
	 * @param reservations the reservations of other gangs
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	GangPlacer(Collection<CandidateWorker> candidates, Reservations reservations, long nowMillis) {
		this.candidates = candidates;
		this.reservations = reservations;
		this.nowMillis = nowMillis;
	}

	/**
	 * Chooses workers for a gang.
	 * @param step the gang
	 * @param preference the speeds of workers that it prefers
	 * @param allowSpread whether a rack-sensitive gang may be spread over racks
	 * @return the worker of each task by its index, or empty when the gang does not fit
	 */
	Optional<Map<Integer, CandidateWorker>> place(PendingStep step, SpeedPreference preference, boolean allowSpread) {
		List<CandidateWorker> eligible = unreserved(step);
		if (eligible.stream().mapToLong((candidate) -> candidate.maxTasks(step.spec())).sum() < step.waiting().size()) {
			return Optional.empty();
		}
		if (!step.spec().rackSensitive()) {
			return packInOneOf(List.of(eligible), step, preference);
		}
		Collection<List<CandidateWorker>> racks = CandidateWorker.byRack(eligible);
		// Away from its data a gang is slower than on any worker that is worth using.
		List<List<CandidateWorker>> dataRack = racks.stream()
			.filter((rack) -> step.spec().dataRack().filter(rack.getFirst().rack()::equals).isPresent())
			.toList();
		Optional<Map<Integer, CandidateWorker>> best = packInOneOf(dataRack, step, preference)
			.or(() -> packInOneOf(racks, step, preference));
		boolean fitsWhenEmpty = racks.stream().anyMatch((rack) -> fitsWhenEmpty(step, rack));
		return (best.isPresent() || (fitsWhenEmpty && !allowSpread)) ? best
				: packInOneOf(List.of(eligible), step, preference);
	}

	// Packs the gang into the group with the fewest free accelerators on which it fits,
	// on workers of the best range of speeds for which there is such a group.
	private static Optional<Map<Integer, CandidateWorker>> packInOneOf(Collection<List<CandidateWorker>> groups,
			PendingStep step, SpeedPreference preference) {
		List<Group> slots = groups.stream().map((workers) -> Group.of(workers, step, preference)).toList();
		for (SpeedPreference.Range range : preference.ranges()) {
			Optional<Group> best = slots.stream()
				.filter((group) -> group.slots(range) >= step.waiting().size())
				.min(Comparator.comparingInt(Group::freeAccelerators));
			if (best.isPresent()) {
				return Optional.of(pack(step, best.get().workers().stream().filter(range::includes).toList()));
			}
		}
		return Optional.empty();
	}

	private static boolean fitsWhenEmpty(PendingStep step, List<CandidateWorker> rack) {
		long slots = rack.stream()
			.mapToLong((candidate) -> step.spec().maxTasksIn(candidate.worker().report().room()))
			.sum();
		return slots >= step.waiting().size();
	}

	private List<CandidateWorker> unreserved(PendingStep step) {
		return this.candidates.stream()
			.filter((candidate) -> this.reservations.allows(candidate, step, this.nowMillis))
			.toList();
	}

	// Fills the slowest workers first, as the gang is no faster on others, and then the
	// fullest, so that whole workers stay free.
	private static Map<Integer, CandidateWorker> pack(PendingStep step, List<CandidateWorker> candidates) {
		List<CandidateWorker> fullestFirst = new ArrayList<>(candidates);
		fullestFirst.sort(Comparator.comparingInt((CandidateWorker candidate) -> -candidate.tier())
			.thenComparingInt((candidate) -> candidate.free().accelerators())
			.thenComparingLong((candidate) -> candidate.free().cpuMillis()));
		Map<Integer, CandidateWorker> placed = new LinkedHashMap<>();
		int next = 0;
		for (CandidateWorker candidate : fullestFirst) {
			int slots = candidate.maxTasks(step.spec());
			while (slots > 0 && next < step.waiting().size()) {
				placed.put(step.waiting().get(next++), candidate);
				slots--;
			}
		}
		return placed;
	}

	/**
	 * Workers of which a gang may use any.
	 *
	 * @param workers the workers
	 * @param slotsByTier the number of members that fit on the workers of each tier
	 * @param freeAccelerators the number of free accelerators of all workers
	 */
	private record Group(List<CandidateWorker> workers, long[] slotsByTier, int freeAccelerators) {

		static Group of(List<CandidateWorker> workers, PendingStep step, SpeedPreference preference) {
			long[] slotsByTier = new long[preference.tierCount()];
			int freeAccelerators = 0;
			for (CandidateWorker worker : workers) {
				slotsByTier[worker.tier()] += worker.maxTasks(step.spec());
				freeAccelerators += worker.free().accelerators();
			}
			return new Group(workers, slotsByTier, freeAccelerators);
		}

		long slots(SpeedPreference.Range range) {
			long slots = 0;
			for (int tier = range.fastest(); tier <= range.slowest(); tier++) {
				slots += this.slotsByTier[tier];
			}
			return slots;
		}

	}

}
