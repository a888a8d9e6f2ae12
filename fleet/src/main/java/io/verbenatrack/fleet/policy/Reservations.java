package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.fleet.model.Resources;

/**
 * Reserves workers for gangs that do not fit, following EASY backfill (Lifka, 1995): the
 * workers on which the gang ends first are reserved, and other steps may use them only if
 * they end before. Without reservations a stream of small tasks starves wide gangs.
 */
final class Reservations {

	/** With fewer workers per reservation, too many workers would be idle. */
	private static final int WORKERS_PER_RESERVATION = 20;

	/** The number of reservations that even a small fleet allows. */
	private static final int MIN_RESERVATIONS = 3;

	private final Map<CandidateWorker, Long> freeAtMillis = new HashMap<>();

	private final ReservationHolds holds;

	private int reservationCount;

	Reservations(ReservationHolds holds) {
		this.holds = holds;
	}

	/**
	 * Reserves workers for a gang if its result can still have value when it ends, the
	 * limit of reservations is not reached, and the gang has not kept workers idle for
	 * too long.
	 * @param step the gang
	 * @param eligible the workers on which it may start
	 * @param service the use of its service
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @param nowMillis the time in milliseconds since the epoch
	 * @param latestStartMillis when the gang must be able to start, in milliseconds since
	 * the epoch
	 * @return whether workers are reserved
	 */
	boolean reserve(PendingStep step, Collection<CandidateWorker> eligible, ServiceUse service, long nowNanos,
			long nowMillis, long latestStartMillis) {
		int maxReservations = Math.max(MIN_RESERVATIONS, service.workers() / WORKERS_PER_RESERVATION);
		if (this.reservationCount >= maxReservations
				|| CompletionOutlook.of(step, nowMillis) == CompletionOutlook.MISSED) {
			return false;
		}
		Optional<Window> reserved = firstWindow(step, eligible, nowMillis).filter((window) -> {
			if (window.startMillis() > latestStartMillis) {
				return false;
			}
			long expectedWaitNanos = Duration.ofMillis(window.startMillis() - nowMillis).toNanos();
			return this.holds.mayReserve(step.task(0), expectedWaitNanos, service.mostlyIdle(), nowNanos);
		});
		reserved.ifPresent((window) -> {
			this.reservationCount++;
			window.workers().forEach((candidate) -> this.freeAtMillis.put(candidate, window.startMillis()));
		});
		return reserved.isPresent();
	}

	private Optional<Window> firstWindow(PendingStep step, Collection<CandidateWorker> eligible, long nowMillis) {
		List<CandidateWorker> suitable = eligible.stream()
			.filter((candidate) -> !this.freeAtMillis.containsKey(candidate))
			.toList();
		Collection<List<CandidateWorker>> groups = step.spec().rackSensitive() ? CandidateWorker.byRack(suitable)
				: List.of(suitable);
		return groups.stream()
			.flatMap((workers) -> windows(step, workers, nowMillis).stream())
			.min(Comparator.comparingLong(Window::endMillis));
	}

	// Lists a window for each speed that the slowest worker may have. A gang runs as fast
	// as its slowest member, so workers that are free later may let it end sooner.
	private static List<Window> windows(PendingStep step, List<CandidateWorker> workers, long nowMillis) {
		List<Availability> availabilities = new ArrayList<>();
		for (CandidateWorker candidate : workers) {
			firstAvailable(step.spec().room(), candidate, nowMillis).ifPresent(availabilities::add);
		}
		availabilities.sort(Comparator.comparingLong(Availability::atMillis));
		return availabilities.stream()
			.map((availability) -> availability.candidate().tier())
			.distinct()
			.map((slowest) -> window(step, availabilities, slowest))
			.flatMap(Optional::stream)
			.toList();
	}

	private static Optional<Window> window(PendingStep step, List<Availability> availabilities, int slowestTier) {
		List<CandidateWorker> chosen = new ArrayList<>();
		int fittingTasks = 0;
		double speed = Double.MAX_VALUE;
		for (Availability availability : availabilities) {
			if (availability.candidate().tier() > slowestTier) {
				continue;
			}
			chosen.add(availability.candidate());
			speed = Math.min(speed, availability.candidate().speed());
			fittingTasks += availability.fittingTasks();
			if (fittingTasks >= step.waiting().size()) {
				long runMillis = (long) (step.medianMillis() / speed);
				return Optional.of(new Window(chosen, availability.atMillis(), availability.atMillis() + runMillis));
			}
		}
		return Optional.empty();
	}

	// Finds when enough runs of a worker have ended for a member of the gang to fit.
	private static Optional<Availability> firstAvailable(Resources need, CandidateWorker candidate, long nowMillis) {
		Resources free = candidate.free();
		long at = nowMillis;
		List<CandidateWorker.RunningTask> byEnd = candidate.runningTasks()
			.stream()
			.filter(CandidateWorker.RunningTask::ends)
			.sorted(Comparator.comparingLong(CandidateWorker.RunningTask::remainingMillis))
			.toList();
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
	 * Returns whether reservations allow a step to start on a worker.
	 * @param candidate the worker
	 * @param step the step
	 * @param nowMillis the time in milliseconds since the epoch
	 * @return whether the worker is not reserved, or the step ends before the reservation
	 */
	boolean allows(CandidateWorker candidate, PendingStep step, long nowMillis) {
		Long start = this.freeAtMillis.get(candidate);
		return start == null || nowMillis + step.cautiousMillis() / candidate.speed() <= start;
	}

	private record Availability(CandidateWorker candidate, long atMillis, int fittingTasks) {

	}

	private record Window(List<CandidateWorker> workers, long startMillis, long endMillis) {

	}

}
