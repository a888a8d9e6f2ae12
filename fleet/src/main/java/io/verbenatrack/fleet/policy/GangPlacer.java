package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.verbenatrack.fleet.model.Room;

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
		if (!step.spec().rackSensitive()) {
			return pack(step, suitable(step, this.hosts));
		}
		List<List<Host>> racks = racks(step);
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
		return (best.isPresent() || (everFits && !spread)) ? best : pack(step, suitable(step, this.hosts));
	}

	private List<List<Host>> racks(PendingStep step) {
		Map<String, List<Host>> racks = new TreeMap<>();
		for (Host host : suitable(step, this.hosts)) {
			racks.computeIfAbsent(host.rack(), (rack) -> new ArrayList<>()).add(host);
		}
		return List.copyOf(racks.values());
	}

	private static boolean everFits(PendingStep step, List<Host> rack) {
		int most = (step.spec().mostOnOneWorker() > 0) ? step.spec().mostOnOneWorker() : Integer.MAX_VALUE;
		long places = rack.stream()
			.mapToLong((host) -> Math.min(most, step.spec().room().timesIn(host.worker().report().room())))
			.sum();
		return places >= step.waiting().size();
	}

	private List<Host> suitable(PendingStep step, Collection<Host> hosts) {
		return hosts.stream()
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
		Room need = step.spec().room();
		int most = (step.spec().mostOnOneWorker() > 0) ? step.spec().mostOnOneWorker() : Integer.MAX_VALUE;
		List<Host> order = new ArrayList<>(hosts);
		order.sort(Comparator.comparingInt((Host host) -> host.free().accelerators())
			.thenComparingLong((host) -> host.free().cpuMillis()));
		Map<Integer, Host> placed = new LinkedHashMap<>();
		Map<Host, Integer> used = new HashMap<>();
		int next = 0;
		for (Host host : order) {
			int places = Math.min(most, need.timesIn(host.free()));
			while (places > 0 && next < step.waiting().size()) {
				placed.put(step.waiting().get(next++), host);
				used.merge(host, 1, Integer::sum);
				places--;
			}
		}
		return (next == step.waiting().size()) ? Optional.of(placed) : Optional.empty();
	}

}
