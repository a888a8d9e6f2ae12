package io.verbenatrack.telemetry;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.testng.annotations.Test;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.settings.TelemetrySettings;
import io.verbenatrack.settings.TelemetrySettings.LogFormat;
import io.verbenatrack.settings.TelemetrySettings.TraceExport;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Tracing}.
 */
public class TracingTests {

	/*
	 * Flags 03: sampled, with a random trace id, as W3C Trace Context level 2 defines
	 * them.
	 */
	private static final String NEW_TRACE = "00-[0-9a-f]{32}-[0-9a-f]{16}-03";

	private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";

	private static final String PARENT = "00-" + TRACE + "-b7ad6b7169203331-01";

	private final List<Map<String, Object>> events = new ArrayList<>();

	@Test
	public void disabledTracingPropagatesTheCallersContext() {
		try (Tracing tracing = tracing(TraceExport.NONE, 1); HopSpan span = tracing.startSpan(Hop.REQUEST, parent())) {
			assertThat(span.context()).contains(PARENT);
		}
	}

	@Test
	public void eachHopIsASpanInTheCallersTrace() {
		this.events.clear();
		try (Tracing tracing = tracing(TraceExport.LOG, 1);
				HopSpan request = tracing.startSpan(Hop.REQUEST, parent())) {
			tracing.startSpan(Hop.ATTEMPT, request.context()).setAttribute("target", "t-1").close();
		}
		assertThat(this.events).extracting((fields) -> fields.get("span"))
			.containsExactly("verbenatrack.attempt", "verbenatrack.request");
		assertThat(this.events).allMatch((fields) -> fields.get("traceId").equals(TRACE));
		assertThat(this.events.get(0).get("parentSpanId")).isEqualTo(this.events.get(1).get("spanId"));
		assertThat(this.events.get(0).get("target")).isEqualTo("t-1");
	}

	@Test
	public void callWithoutContextStartsANewTrace() {
		try (Tracing tracing = tracing(TraceExport.LOG, 1);
				HopSpan span = tracing.startSpan(Hop.CALL, Optional.empty())) {
			assertThat(span.context().orElseThrow()).matches(NEW_TRACE);
		}
	}

	@Test
	public void callWithAnInvalidContextStartsANewTrace() {
		try (Tracing tracing = tracing(TraceExport.LOG, 1);
				HopSpan span = tracing.startSpan(Hop.CALL, Optional.of("00-zz"))) {
			assertThat(span.context().orElseThrow()).matches(NEW_TRACE);
		}
	}

	@Test
	public void samplingRatioOfZeroRecordsNoSpans() {
		this.events.clear();
		try (Tracing tracing = tracing(TraceExport.LOG, 0)) {
			tracing.startSpan(Hop.CALL, Optional.empty()).close();
		}
		assertThat(this.events).isEmpty();
	}

	@Test
	public void failedHopHasErrorStatus() {
		this.events.clear();
		try (Tracing tracing = tracing(TraceExport.LOG, 1); HopSpan span = tracing.startSpan(Hop.CALL, parent())) {
			span.fail("no reply");
		}
		assertThat(this.events).singleElement().matches((fields) -> fields.get("status").equals("ERROR"));
	}

	private Tracing tracing(TraceExport export, double samplingRatio) {
		TelemetrySettings settings = new TelemetrySettings(LogFormat.TEXT, export, Optional.empty(), samplingRatio);
		return Tracing.start(settings, new InstanceId("i-1"), (event, fields) -> this.events.add(fields));
	}

	private static Optional<String> parent() {
		return Optional.of(PARENT);
	}

}
