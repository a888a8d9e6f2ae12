package io.verbenatrack.server;

import java.time.InstantSource;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import dagger.Module;
import dagger.Provides;
import org.eclipse.jetty.client.HttpClient;

import io.verbenatrack.model.Closer;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.server.command.CommandCodec;
import io.verbenatrack.server.http.ApiJsonCodec;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.state.RecordCodec;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.Metrics;
import io.verbenatrack.telemetry.SystemEventLog;
import io.verbenatrack.telemetry.Tracing;

/**
 * Provides clocks, the timer thread, codecs, telemetry and the HTTP client for calls to
 * workers.
 */
@Module
final class PlatformModule {

	private static final int CONNECTIONS_PER_DESTINATION = 16;

	private PlatformModule() {
	}

	@Provides
	static InstantSource wallClock() {
		return InstantSource.system();
	}

	@Provides
	@InstanceScope
	static LeaseClock leaseClock() {
		return LeaseClock.system();
	}

	@Provides
	static MonotonicClock monotonicClock() {
		return MonotonicClock.system();
	}

	@Provides
	@InstanceScope
	static ScheduledExecutorService timer(Closer closer) {
		ScheduledExecutorService timer = Executors
			.newSingleThreadScheduledExecutor(Thread.ofPlatform().name("timer").daemon().factory());
		closer.register(timer::shutdownNow);
		return timer;
	}

	@Provides
	@InstanceScope
	static HttpClient client(Closer closer) {
		HttpClient client = new HttpClient();
		client.setMaxConnectionsPerDestination(CONNECTIONS_PER_DESTINATION);
		closer.register(client::stop);
		return client;
	}

	@Provides
	@InstanceScope
	static RecordCodec codec() {
		return RecordCodec.cbor();
	}

	@Provides
	@InstanceScope
	static CommandCodec commandCodec() {
		return new CommandCodec();
	}

	@Provides
	@InstanceScope
	static ApiJsonCodec jsonCodec() {
		return new ApiJsonCodec();
	}

	@Provides
	@InstanceScope
	static EventLog events(InstanceSettings settings, InstantSource wallClock) {
		return new SystemEventLog(settings.telemetry().logFormat(), wallClock);
	}

	@Provides
	@InstanceScope
	static Metrics metrics(Closer closer) {
		return closer.register(new Metrics());
	}

	@Provides
	@InstanceScope
	static Tracing tracing(InstanceSettings settings, EventLog events, Closer closer) {
		return closer.register(Tracing.start(settings.telemetry(), settings.instance(), events));
	}

}
