package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import io.verbenatrack.fleet.state.Cancellation;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.JobId;

/**
 * Records why jobs and their cancellations are refused, and tells when callers may come
 * back.
 */
public final class JobRefusals {

	/** Time for a command that removes entries of the state. */
	private static final Duration MIN_ROOM_RETRY = Duration.ofSeconds(1);

	/** Other jobs may end, or be cancelled, sooner than is known. */
	private static final Duration MAX_ROOM_RETRY = Duration.ofSeconds(30);

	private final FleetState state;

	private final JobRetention jobRetention;

	private final CancellationRetention cancellationRetention;

	private final Consumer<FleetEvent> events;

	JobRefusals(FleetState state, JobRetention jobRetention, CancellationRetention cancellationRetention,
			Consumer<FleetEvent> events) {
		this.state = state;
		this.jobRetention = jobRetention;
		this.cancellationRetention = cancellationRetention;
		this.events = events;
	}

	/**
	 * Records that a job is refused, as the replicas lack the memory for it.
	 * @param job the job
	 * @param account its client account
	 * @param bytes the memory that it may take
	 * @param maxBytes the maximum for all accounts
	 * @param now the time
	 * @return when the caller should retry, in milliseconds from now
	 */
	public long refuseJob(JobId job, AccountId account, long bytes, long maxBytes, GrantedTime now) {
		long retryMillis = retryMillis(this.jobRetention.untilNext(now.nanos()));
		this.events.accept(new FleetEvent.JobRefused(job, account, bytes,
				this.state.bytesByAccount().getOrDefault(account, 0L), maxBytes, retryMillis));
		return retryMillis;
	}

	/**
	 * Records that a job is refused, as its account has cancelled it before.
	 * @param cancellation the cancellation of the job
	 */
	public void refuseCancelledJob(Cancellation cancellation) {
		this.events.accept(new FleetEvent.CancelledJobRefused(cancellation));
	}

	/**
	 * Records that the cancellation of an unknown job is refused, as its client account
	 * has no room for it.
	 * @param cancellation the cancellation
	 * @param maxBytes the room of the account in bytes
	 * @param now the time
	 * @return when the caller should retry, in milliseconds from now
	 */
	public long refuseCancellation(Cancellation cancellation, long maxBytes, GrantedTime now) {
		long retryMillis = retryMillis(this.cancellationRetention.untilNext(now.nanos()));
		this.events.accept(new FleetEvent.CancellationRefused(cancellation,
				this.state.cancellations().bytes(cancellation.account()), maxBytes, retryMillis));
		return retryMillis;
	}

	private static long retryMillis(Optional<Duration> untilRoom) {
		return Math.clamp(untilRoom.orElse(MAX_ROOM_RETRY).toMillis(), MIN_ROOM_RETRY.toMillis(),
				MAX_ROOM_RETRY.toMillis());
	}

}
