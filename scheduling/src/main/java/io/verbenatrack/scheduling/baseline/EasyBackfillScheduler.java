package io.verbenatrack.scheduling.baseline;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.lifecycle.ReplicatedScheduler;
import io.verbenatrack.scheduling.state.DecisionCollector;
import io.verbenatrack.scheduling.state.JobRecord;

/**
 * Scheduling policy that places jobs in the order of submission by best fit. Later jobs
 * may start before the first one that does not fit if, by the declared run times, they do
 * not delay it.
 *
 * <p>
 * This is EASY backfill (Lifka, "The ANL/IBM SP Scheduling System", 1995). The
 * reservation is for particular accelerators, because gangs need adjacent ones. Nothing
 * is reclaimed.
 */
public final class EasyBackfillScheduler extends ReplicatedScheduler {

	/**
	 * Creates a scheduler with no jobs and no workers.
	 */
	public EasyBackfillScheduler() {
		super(DEFAULT_REMEMBERED_JOBS);
	}

	@Override
	protected void applyPolicy(SchedulingEvent event, Instant now, DecisionCollector collector) {
		placeWaiting(now, collector);
	}

	private void placeWaiting(Instant now, DecisionCollector collector) {
		if (state().jobs().waiting().isEmpty()) {
			return;
		}
		Pass pass = new Pass(new FreeSpace(state().fleet()));
		for (JobRecord job : List.copyOf(state().jobs().waiting())) {
			GangShape shape = job.spec().shape();
			Optional<GangPlacement> place = pass.place(shape, expectedEnd(job, now));
			place.ifPresent((found) -> {
				pass.take(shape, found);
				collector.add(new SchedulingDecision.PlaceGang(job.id(), state().nextToken(), found, now));
			});
			if (place.isEmpty() && pass.reservation == null) {
				reserve(shape, now).ifPresent(pass::reserve);
			}
		}
	}

	// Returns the placement that becomes free first if running jobs end at their
	// declared run times.
	private Optional<Reservation> reserve(GangShape shape, Instant now) {
		FreeSpace future = new FreeSpace(state().fleet());
		List<JobRecord> ending = state().jobs()
			.holding()
			.stream()
			.sorted(Comparator.comparing((JobRecord job) -> expectedEnd(job, now)))
			.toList();
		for (JobRecord job : ending) {
			future.release(job.spec().shape(), job.lease().orElseThrow().placement());
			Optional<GangPlacement> place = future.bestFit(shape);
			if (place.isPresent()) {
				return Optional.of(new Reservation(shape, place.get(), expectedEnd(job, now)));
			}
		}
		return Optional.empty();
	}

	private static Instant expectedEnd(JobRecord job, Instant now) {
		Instant start = job.lease().map((lease) -> lease.startedAt().orElse(lease.placedAt())).orElse(now);
		Duration left = job.spec().declaredRunTime().minus(job.checkpointedBefore());
		Instant end = start.plus(left);
		return end.isAfter(now) ? end : now;
	}

	/**
	 * The reservation for the first waiting job that does not fit.
	 *
	 * @param shape the shape of its gang
	 * @param placement the reserved accelerators
	 * @param at when the accelerators are expected to be free
	 */
	private record Reservation(GangShape shape, GangPlacement placement, Instant at) {

	}

	/** One pass over the waiting jobs. */
	private static final class Pass {

		private final FreeSpace free;

		private final Set<GangShape> unplaceable = new HashSet<>();

		private final Set<GangShape> unplaceableOutsideReservation = new HashSet<>();

		private FreeSpace freeOutsideReservation;

		private Reservation reservation;

		Pass(FreeSpace free) {
			this.free = free;
		}

		void reserve(Reservation head) {
			this.reservation = head;
			this.freeOutsideReservation = this.free.copy();
			this.freeOutsideReservation.take(head.shape(), head.placement());
		}

		// A job that would end after the reserved start may only use accelerators
		// outside the reservation.
		Optional<GangPlacement> place(GangShape shape, Instant end) {
			boolean outlasts = this.reservation != null && end.isAfter(this.reservation.at());
			Set<GangShape> failed = outlasts ? this.unplaceableOutsideReservation : this.unplaceable;
			if (failed.contains(shape) || this.unplaceable.contains(shape)) {
				return Optional.empty();
			}
			Optional<GangPlacement> place = (outlasts ? this.freeOutsideReservation : this.free).bestFit(shape);
			if (place.isEmpty()) {
				failed.add(shape);
			}
			return place;
		}

		void take(GangShape shape, GangPlacement placement) {
			this.free.take(shape, placement);
			if (this.reservation != null) {
				this.freeOutsideReservation.take(shape, placement);
			}
		}

	}

}
