package io.verbenatrack.fleetd;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.LogEvent;

/**
 * Answers each call by its timeout: calls that another client does not answer, or that
 * fail in it, are reported and have an unknown outcome.
 */
public final class DeadlineFleetClient implements FleetClient {

	/** Left to the delegate, which knows better than this client whether a call ran. */
	private static final Duration GRACE = Duration.ofMillis(100);

	private final FleetClient delegate;

	private final EventLog events;

	/**
	 * Creates a client that delegates to another one.
	 * @param delegate sends the calls
	 * @param events receives the calls without a reply
	 */
	public DeadlineFleetClient(FleetClient delegate, EventLog events) {
		this.delegate = delegate;
		this.events = events;
	}

	@Override
	public CompletableFuture<FleetReply> call(FleetCall call, Duration timeout) {
		return start(call, timeout).orTimeout(timeout.plus(GRACE).toMillis(), TimeUnit.MILLISECONDS)
			.exceptionally((failure) -> {
				report(call, failure);
				return new FleetReply.OutcomeUnknown();
			});
	}

	private CompletableFuture<FleetReply> start(FleetCall call, Duration timeout) {
		try {
			return this.delegate.call(call, timeout);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private void report(FleetCall call, Throwable failure) {
		this.events.write(LogEvent.FLEET_CALL_OVERDUE, new EventLog.Field("call", call.getClass().getSimpleName()),
				new EventLog.Field("path", path(call)), new EventLog.Field("problem", failure));
	}

	private static String path(FleetCall call) {
		return switch (call) {
			case FleetCall.SubmitJob submit -> submit.origin().path();
			case FleetCall.AskState ask -> ask.origin().path();
			case FleetCall.CancelJob cancel -> cancel.origin().path();
			case FleetCall.Heartbeat heartbeat -> heartbeat.report().life().worker().value();
			case FleetCall.Leave leave -> leave.worker().value();
			case FleetCall.ChangeConfiguration change -> "";
			case FleetCall.ReadConfiguration read -> "";
			case FleetCall.EvacuateZone evacuate -> evacuate.zone().value();
			case FleetCall.WithdrawEvacuation withdraw -> withdraw.zone().value();
			case FleetCall.Probe probe -> "";
		};
	}

}
