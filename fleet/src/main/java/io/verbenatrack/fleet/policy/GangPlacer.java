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
 * waited too long.
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

	Optional<Map<Integer, CandidateWorker>> place(PendingStep step, boolean allowSpread) {
		List<CandidateWorker> eligible = unreserved(step);
		if (!step.spec().rackSensitive()) {
			return pack(step, eligible);
		}
		Collection<List<CandidateWorker>> racks = CandidateWorker.byRack(eligible);
		Optional<Map<Integer, CandidateWorker>> best = Optional.empty();
		int leastRemaining = Integer.MAX_VALUE;
		for (List<CandidateWorker> rack : racks) {
			Optional<Map<Integer, CandidateWorker>> found = pack(step, rack);
			int remaining = rack.stream().mapToInt((candidate) -> candidate.free().accelerators()).sum();
			boolean holdsData = step.spec().dataRack().filter(rack.getFirst().rack()::equals).isPresent();
			if (found.isPresent() && (holdsData || remaining < leastRemaining)) {
				best = found;
				leastRemaining = holdsData ? Integer.MIN_VALUE : remaining;
			}
		}
		boolean fitsWhenEmpty = racks.stream().anyMatch((rack) -> fitsWhenEmpty(step, rack));
		return (best.isPresent() || (fitsWhenEmpty && !allowSpread)) ? best : pack(step, eligible);
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

	// Fills the fullest workers first, so that whole workers stay free.
	private static Optional<Map<Integer, CandidateWorker>> pack(PendingStep step, List<CandidateWorker> candidates) {
		List<CandidateWorker> fullestFirst = new ArrayList<>(candidates);
		fullestFirst.sort(Comparator.comparingInt((CandidateWorker candidate) -> candidate.free().accelerators())
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
		return (next == step.waiting().size()) ? Optional.of(placed) : Optional.empty();
	}

}
