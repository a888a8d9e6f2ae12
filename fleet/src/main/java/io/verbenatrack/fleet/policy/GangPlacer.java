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

	private final Collection<Host> hosts;

	private final Reservations reservations;

	private final long nowMillis;

	GangPlacer(Collection<Host> hosts, Reservations reservations, long nowMillis) {
		this.hosts = hosts;
		this.reservations = reservations;
		this.nowMillis = nowMillis;
	}

	Optional<Map<Integer, Host>> place(PendingStep step, boolean spread) {
		List<Host> suitable = suitable(step);
		if (!step.spec().rackSensitive()) {
			return pack(step, suitable);
		}
		Collection<List<Host>> racks = Host.byRack(suitable);
		Optional<Map<Integer, Host>> best = Optional.empty();
		int leastLeft = Integer.MAX_VALUE;
		for (List<Host> rack : racks) {
			Optional<Map<Integer, Host>> found = pack(step, rack);
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

	private static boolean everFits(PendingStep step, List<Host> rack) {
		long places = rack.stream().mapToLong((host) -> step.spec().placesIn(host.worker().report().room())).sum();
		return places >= step.waiting().size();
	}

	private List<Host> suitable(PendingStep step) {
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
	private static Optional<Map<Integer, Host>> pack(PendingStep step, List<Host> hosts) {
		List<Host> order = new ArrayList<>(hosts);
		order.sort(Comparator.comparingInt((Host host) -> host.free().accelerators())
			.thenComparingLong((host) -> host.free().cpuMillis()));
		Map<Integer, Host> placed = new LinkedHashMap<>();
		int next = 0;
		for (Host host : order) {
			int places = step.spec().placesIn(host.free());
			while (places > 0 && next < step.waiting().size()) {
				placed.put(step.waiting().get(next++), host);
				places--;
			}
		}
		return (next == step.waiting().size()) ? Optional.of(placed) : Optional.empty();
	}

}
