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
	private static final int WORKERS_PER_RESERVATION = 20;

	/** A small fleet keeps workers for so many gangs all the same. */
	private static final int MIN_RESERVATIONS = 3;

	private final Map<CandidateWorker, Long> freeAtMillis = new HashMap<>();

	private int reservationCount;

	/**
	 * Keeps workers for a gang.
	 * @param step the gang
	 * @param candidates the workers of its service
	 * @param nowMillis the time
	 */
	void reserve(PendingStep step, Collection<CandidateWorker> candidates, long nowMillis) {
		int maxReservations = Math.max(MIN_RESERVATIONS, candidates.size() / WORKERS_PER_RESERVATION);
		if (this.reservationCount >= maxReservations
				|| CompletionOutlook.of(step, nowMillis) == CompletionOutlook.MISSED) {
			return;
		}
		Optional<Window> first = firstWindow(step, candidates, nowMillis);
		first.ifPresent((window) -> {
			this.reservationCount++;
			window.workers().forEach((candidate) -> this.freeAtMillis.put(candidate, window.startMillis()));
		});
	}

	private Optional<Window> firstWindow(PendingStep step, Collection<CandidateWorker> candidates, long nowMillis) {
		List<CandidateWorker> suitable = candidates.stream()
			.filter((candidate) -> candidate.matches(step.spec()) && !this.freeAtMillis.containsKey(candidate))
			.toList();
		Collection<List<CandidateWorker>> groups = step.spec().rackSensitive() ? CandidateWorker.byRack(suitable)
				: List.of(suitable);
		return groups.stream()
			.map((workers) -> window(step, workers, nowMillis))
			.flatMap(Optional::stream)
			.min(Comparator.comparingLong(Window::startMillis));
	}

	private static Optional<Window> window(PendingStep step, List<CandidateWorker> workers, long nowMillis) {
		List<Availability> availabilities = new ArrayList<>();
		for (CandidateWorker candidate : workers) {
			firstAvailable(step.spec().room(), candidate, nowMillis).ifPresent(availabilities::add);
		}
		availabilities.sort(Comparator.comparingLong(Availability::atMillis));
		List<CandidateWorker> chosen = new ArrayList<>();
		int fittingTasks = 0;
		for (Availability availability : availabilities) {
			chosen.add(availability.candidate());
			fittingTasks += availability.fittingTasks();
			if (fittingTasks >= step.waiting().size()) {
				return Optional.of(new Window(chosen, availability.atMillis()));
			}
		}
		return Optional.empty();
	}

	// When a worker first has room for a member, as its runs end one after the other.
	private static Optional<Availability> firstAvailable(Resources need, CandidateWorker candidate, long nowMillis) {
		Resources free = candidate.free();
		long at = nowMillis;
		List<CandidateWorker.RunningTask> byEnd = new ArrayList<>(candidate.runningTasks());
		byEnd.sort(Comparator.comparingLong(CandidateWorker.RunningTask::remainingMillis));
		int next = 0;
		while (need.maxCopiesIn(free) == 0 && next < byEnd.size()) {
			CandidateWorker.RunningTask running = byEnd.get(next++);
			free = free.plus(running.room());
			at = nowMillis + running.remainingMillis();
		}
		int fittingTasks = need.maxCopiesIn(free);
		return (fittingTasks > 0) ? Optional.of(new Availability(candidate, at, fittingTasks)) : Optional.empty();
	}

	/**
	 * Whether a step may start on a worker although it may be kept for another.
	 * @param candidate the worker
	 * @param step the step
	 * @param nowMillis the time
	 * @return whether it ends before the worker is needed
	 */
	boolean allows(CandidateWorker candidate, PendingStep step, long nowMillis) {
		Long start = this.freeAtMillis.get(candidate);
		return start == null || nowMillis + step.spec().estimatedMillis() <= start;
	}

	private record Availability(CandidateWorker candidate, long atMillis, int fittingTasks) {

	}

	private record Window(List<CandidateWorker> workers, long startMillis) {

	}

}
