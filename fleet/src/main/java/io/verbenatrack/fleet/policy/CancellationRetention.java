package io.verbenatrack.fleet.policy;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.fleet.state.Cancellation;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;

/**
 * Removes recorded cancellations once no call that submits their jobs can still be on its
 * way.
 */
final class CancellationRetention {

	private final Retention<Cancellation> retention;

	CancellationRetention(Duration retention, long startNanos) {
		this.retention = new Retention<>(retention, startNanos);
	}

	/**
	 * Returns the cancellations whose retention is over.
	 * @param state the state of the fleet
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the command that removes them, or empty if there are none
	 */
	Optional<FleetCommand> sweep(FleetState state, long nowNanos) {
		if (!this.retention.beginSweep(nowNanos)) {
			return Optional.empty();
		}
		List<Cancellation> expired = this.retention.expired(state.cancellations().all(), Set.of(), nowNanos);
		return expired.isEmpty() ? Optional.empty() : Optional.of(new FleetCommand.ForgetCancellations(expired));
	}

	/**
	 * Returns when the next cancellation is removed.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @return the time until then, or empty if none is known
	 */
	Optional<Duration> untilNext(long nowNanos) {
		return this.retention.untilNext(nowNanos);
	}

}
