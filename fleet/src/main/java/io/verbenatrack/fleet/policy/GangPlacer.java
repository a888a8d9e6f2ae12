package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the workers of a whole gang, or none.
 *
 * <p>
 * A gang that is sensitive to racks gets one rack: the one that holds its data if that
 * has room, else the one that is left with the least. It is spread over racks only when
 * no rack is large enough even when empty, or when it has waited for too long.
 */
final class GangPlacer {

	private final Collection<CandidateWorker> hosts;

	private final Reservations reservations;

	private final long nowMillis;

	GangPlacer(Collection<CandidateWorker> hosts, Reservations reservations, long nowMillis) {
		this.hosts = hosts;
		this.reservations = reservations;
		this.nowMillis = nowMillis;
	}

	Optional<Map<Integer, CandidateWorker>> place(PendingStep step, boolean spread) {
		List<CandidateWorker> suitable = suitable(step);
		if (!step.spec().rackSensitive()) {
			return pack(step, suitable);
		}
		Collection<List<CandidateWorker>> racks = CandidateWorker.byRack(suitable);
		Optional<Map<Integer, CandidateWorker>> best = Optional.empty();
		int leastLeft = Integer.MAX_VALUE;
		for (List<CandidateWorker> rack : racks) {
			Optional<Map<Integer, CandidateWorker>> found = pack(step, rack);
			int left = rack.stream().mapToInt((host) -> host.free().accelerators()).sum();
			boolean holdsData = step.spec().dataRack().filter(rack.getFirst().rack()::equals).isPresent();
			if (found.isPresent() && (holdsData || left < leastLeft)) {
				best = found;
				leastLeft = holdsData ? Integer.MIN_VALUE : left;
			}
		}
		boolean everFits = racks.stream().anyMatch((rack) -> everFits(step, rack));
		return (best.isPresent() || (everFits && !spread)) ? best : pack(step, suitable);
	}

	private static boolean everFits(PendingStep step, List<CandidateWorker> rack) {
		long places = rack.stream().mapToLong((host) -> step.spec().placesIn(host.worker().report().room())).sum();
		return places >= step.waiting().size();
	}

	private List<CandidateWorker> suitable(PendingStep step) {
		return this.hosts.stream()
			.filter((host) -> host.suits(step.spec()))
			.filter((host) -> !host.reserved() || step.queue().priority() == 0)
			.filter((host) -> this.reservations.admits(host, step, this.nowMillis))
			.filter((host) -> step.waiting()
				.stream()
				.noneMatch((index) -> step.avoid(index).filter(host.worker().life()::equals).isPresent()))
			.toList();
	}

	// Fills the fullest workers first, so that whole workers stay free.
	private static Optional<Map<Integer, CandidateWorker>> pack(PendingStep step, List<CandidateWorker> hosts) {
		List<CandidateWorker> order = new ArrayList<>(hosts);
		order.sort(Comparator.comparingInt((CandidateWorker host) -> host.free().accelerators())
			.thenComparingLong((host) -> host.free().cpuMillis()));
		Map<Integer, CandidateWorker> placed = new LinkedHashMap<>();
		int next = 0;
		for (CandidateWorker host : order) {
			int places = step.spec().placesIn(host.free());
			while (places > 0 && next < step.waiting().size()) {
				placed.put(step.waiting().get(next++), host);
				places--;
			}
		}
		return (next == step.waiting().size()) ? Optional.of(placed) : Optional.empty();
	}

}
