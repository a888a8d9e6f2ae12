package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.fleet.model.Resources;

/**
 * Keeps workers for gangs that find no room, as EASY backfill does (Lifka, 1995): the
 * workers that are free first are kept, and others may use them only for what ends
 * before. Without this a wide gang waits for ever behind a stream of small tasks.
 */
final class Reservations {

	/** More than one gang for so many workers would leave too many of them idle. */
	private static final int WORKERS_PER_GANG = 20;

	/** A small fleet keeps workers for so many gangs all the same. */
	private static final int FEWEST_GANGS = 3;

	private final Map<CandidateWorker, Long> freeAtMillis = new HashMap<>();

	private int kept;

	/**
	 * Keeps workers for a gang.
	 * @param step the gang
	 * @param candidates the workers of its service
	 * @param nowMillis the time
	 */
	void keep(PendingStep step, Collection<CandidateWorker> candidates, long nowMillis) {
		int most = Math.max(FEWEST_GANGS, candidates.size() / WORKERS_PER_GANG);
		if (this.kept >= most || CompletionOutlook.of(step, nowMillis) == CompletionOutlook.MISSED) {
			return;
		}
		Optional<Window> first = firstWindow(step, candidates, nowMillis);
		first.ifPresent((window) -> {
			this.kept++;
			window.hosts().forEach((host) -> this.freeAtMillis.put(host, window.startMillis()));
		});
	}

	private Optional<Window> firstWindow(PendingStep step, Collection<CandidateWorker> candidates, long nowMillis) {
		List<CandidateWorker> suitable = candidates.stream()
			.filter((host) -> host.suits(step.spec()) && !this.freeAtMillis.containsKey(host))
			.toList();
		Collection<List<CandidateWorker>> together = step.spec().rackSensitive() ? CandidateWorker.byRack(suitable)
				: List.of(suitable);
		return together.stream()
			.map((hosts) -> window(step, hosts, nowMillis))
			.flatMap(Optional::stream)
			.min(Comparator.comparingLong(Window::startMillis));
	}

	private static Optional<Window> window(PendingStep step, List<CandidateWorker> hosts, long nowMillis) {
		List<Opening> openings = new ArrayList<>();
		for (CandidateWorker host : hosts) {
			opening(step.spec().room(), host, nowMillis).ifPresent(openings::add);
		}
		openings.sort(Comparator.comparingLong(Opening::atMillis));
		List<CandidateWorker> used = new ArrayList<>();
		int places = 0;
		for (Opening opening : openings) {
			used.add(opening.host());
			places += opening.places();
			if (places >= step.waiting().size()) {
				return Optional.of(new Window(used, opening.atMillis()));
			}
		}
		return Optional.empty();
	}

	// When a worker first has room for a member, as its runs end one after the other.
	private static Optional<Opening> opening(Resources need, CandidateWorker host, long nowMillis) {
		Resources free = host.free();
		long at = nowMillis;
		List<CandidateWorker.Occupant> byEnd = new ArrayList<>(host.occupants());
		byEnd.sort(Comparator.comparingLong(CandidateWorker.Occupant::leftMillis));
		int next = 0;
		while (need.timesIn(free) == 0 && next < byEnd.size()) {
			CandidateWorker.Occupant occupant = byEnd.get(next++);
			free = free.plus(occupant.room());
			at = nowMillis + occupant.leftMillis();
		}
		int places = need.timesIn(free);
		return (places > 0) ? Optional.of(new Opening(host, at, places)) : Optional.empty();
	}

	/**
	 * Whether a step may start on a worker although it may be kept for another.
	 * @param host the worker
	 * @param step the step
	 * @param nowMillis the time
	 * @return whether it ends before the worker is needed
	 */
	boolean admits(CandidateWorker host, PendingStep step, long nowMillis) {
		Long start = this.freeAtMillis.get(host);
		return start == null || nowMillis + step.spec().estimatedMillis() <= start;
	}

	private record Opening(CandidateWorker host, long atMillis, int places) {

	}

	private record Window(List<CandidateWorker> hosts, long startMillis) {

	}

}
