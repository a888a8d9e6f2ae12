package io.verbenatrack.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import dagger.Module;
import dagger.Provides;
import org.eclipse.jetty.client.HttpClient;

import io.verbenatrack.control.configuration.ConfigurationLease;
import io.verbenatrack.control.configuration.ConfigurationLeaseRenewer;
import io.verbenatrack.control.driver.Replica;
import io.verbenatrack.model.Closer;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.routing.VersionedTargetDirectory;
import io.verbenatrack.server.exchange.PeerExchange;
import io.verbenatrack.server.http.ApiHandler;
import io.verbenatrack.server.http.ApiJsonCodec;
import io.verbenatrack.server.http.ApiResponse;
import io.verbenatrack.server.http.ApiRoute;
import io.verbenatrack.server.http.DeclarationRoutes;
import io.verbenatrack.server.http.HealthRoutes;
import io.verbenatrack.server.http.JobRoutes;
import io.verbenatrack.server.http.TargetRoutes;
import io.verbenatrack.server.http.ViewRoutes;
import io.verbenatrack.server.http.WorkerRoutes;
import io.verbenatrack.server.leader.LeaderDuty;
import io.verbenatrack.server.leader.LocalExecutor;
import io.verbenatrack.server.peer.LeaderGateway;
import io.verbenatrack.server.peer.PeerListener;
import io.verbenatrack.server.routing.RequestRouting;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.Metrics;
import io.verbenatrack.telemetry.Tracing;

/**
 * Provides the HTTP API.
 */
@Module
final class HttpModule {

	private static final long CLAIM_EXPIRY_INTERVAL_SECONDS = 30;

	private HttpModule() {
	}

	@Provides
	@InstanceScope
	static Readiness readiness(ConfigurationLease lease) {
		return new Readiness(lease::admissionProblem);
	}

	@Provides
	@InstanceScope
	static ApiHandler api(LeaderGateway gateway, ApiJsonCodec jsonCodec, InstanceSettings settings, Readiness readiness,
			VersionedTargetDirectory directory, ConfigurationLease lease, Metrics metrics, MonotonicClock clock) {
		List<ApiRoute> routes = new ArrayList<>();
		routes.addAll(new JobRoutes(gateway, jsonCodec, lease::admissionProblem).routes());
		routes.addAll(new WorkerRoutes(gateway, jsonCodec, settings.limits().reportsPerCall()).routes());
		routes.addAll(new TargetRoutes(directory, jsonCodec, clock, settings.limits().targets()).routes());
		routes.addAll(new DeclarationRoutes(gateway, jsonCodec).routes());
		routes.addAll(new ViewRoutes(gateway, jsonCodec).routes());
		routes.add(ApiRoute.of("GET", "/metrics",
				(request) -> CompletableFuture.completedFuture(ApiResponse.text(200, metrics.scrape()))));
		routes.addAll(new HealthRoutes(readiness::problem).routes());
		return new ApiHandler(routes, jsonCodec, settings.limits().controlBodyBytes());
	}

	@Provides
	@InstanceScope
	static GracefulShutdown shutdown(InstanceSettings settings, Readiness readiness, RequestRouting routing,
			EventLog events) {
		return new GracefulShutdown(settings.timeouts(), readiness, routing, events);
	}

	@Provides
	@InstanceScope
	static InstrumentedHandler requests(RequestRouting routing, Metrics metrics, Tracing tracing, MonotonicClock clock,
			VersionedTargetDirectory directory) {
		return new InstrumentedHandler(routing.handler(), metrics, tracing, clock,
				() -> directory.all(clock.nanoTime())
					.stream()
					.map((target) -> target.spec().service().value())
					.distinct()
					.toList());
	}

	@Provides
	@InstanceScope
	static BackgroundServices backgroundServices(Optional<LeaderDuty> duty, Optional<LocalExecutor> local,
			HttpClient client, PeerListener peers, PeerExchange exchange, ConfigurationLeaseRenewer leaseRenewer,
			ScheduledExecutorService timer) {
		return () -> {
			client.start();
			peers.open();
			duty.ifPresent(LeaderDuty::start);
			leaseRenewer.start();
			exchange.start(timer);
			local.ifPresent((replica) -> timer.scheduleWithFixedDelay(replica::expireClaims,
					CLAIM_EXPIRY_INTERVAL_SECONDS, CLAIM_EXPIRY_INTERVAL_SECONDS, TimeUnit.SECONDS));
		};
	}

	@Provides
	@InstanceScope
	static Listeners listeners(InstanceSettings settings, ApiHandler api, InstrumentedHandler requests,
			BackgroundServices backgroundServices, Readiness readiness, Optional<Replica> replica,
			ConfigurationLease lease, RequestRouting routing, Metrics metrics, EventLog events, Closer closer) {
		InstanceGauges.register(metrics, replica, lease, routing);
		return new Listeners(settings, List.of(requests, api), closer, backgroundServices, readiness, events);
	}

}
