package io.verbenatrack.fleetd;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.telemetry.LogEvent;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DeadlineFleetClient}: each call is answered by its timeout.
 */
public class DeadlineFleetClientTests {

	private final List<LogEvent> events = Collections.synchronizedList(new ArrayList<>());

	@BeforeMethod
	void clearEvents() {
		this.events.clear();
	}

	private FleetReply call(FleetClient delegate) throws Exception {
		return new DeadlineFleetClient(delegate, (event, fields) -> this.events.add(event))
			.call(new FleetCall.Probe(), Duration.ofMillis(200))
			.get(5, TimeUnit.SECONDS);
	}

	@Test
	public void replyIsPassedOn() throws Exception {
		assertThat(call((call, timeout) -> CompletableFuture.completedFuture(new FleetReply.Stored())))
			.isEqualTo(new FleetReply.Stored());
		assertThat(this.events).isEmpty();
	}

	// Guards against a caller that waits for ever for a call that is never answered.
	@Test
	public void unansweredCallHasUnknownOutcomeAndIsReported() throws Exception {
		assertThat(call((call, timeout) -> new CompletableFuture<>())).isEqualTo(new FleetReply.OutcomeUnknown());
		assertThat(this.events).containsExactly(LogEvent.FLEET_CALL_OVERDUE);
	}

	// Guards against a caller that waits for ever for a call that failed.
	@Test
	public void failedCallHasUnknownOutcomeAndIsReported() throws Exception {
		assertThat(call((call, timeout) -> {
			throw new IllegalStateException("test");
		})).isEqualTo(new FleetReply.OutcomeUnknown());
		assertThat(this.events).containsExactly(LogEvent.FLEET_CALL_OVERDUE);
	}

}
