package io.verbenatrack.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;

import dagger.Module;
import dagger.Provides;
import org.eclipse.jetty.client.HttpClient;

import io.verbenatrack.model.Closer;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.routing.VersionedTargetDirectory;
import io.verbenatrack.server.http.ApiFormat;
import io.verbenatrack.server.http.ApiHandler;
import io.verbenatrack.server.http.ApiRoute;
import io.verbenatrack.server.http.DeclarationRoutes;
import io.verbenatrack.server.http.HealthRoutes;
import io.verbenatrack.server.http.JobRoutes;
import io.verbenatrack.server.http.TargetRoutes;
import io.verbenatrack.server.http.ViewRoutes;
import io.verbenatrack.server.http.WorkerRoutes;
import io.verbenatrack.server.leader.LeaderDuty;
import io.verbenatrack.server.peer.LeaderGateway;
import io.verbenatrack.server.peer.PeerListener;
import io.verbenatrack.server.routing.RequestRouting;
import io.verbenatrack.server.target.TargetExchange;
import io.verbenatrack.settings.InstanceSettings;

/**
 * Provides the HTTP API.
 */
@Module
final class HttpModule {

	private HttpModule() {
	}

	@Provides
	@InstanceScope
	static Readiness readiness() {
		return new Readiness();
	}

	@Provides
	@InstanceScope
	static ApiHandler api(LeaderGateway gateway, ApiFormat format, InstanceSettings settings, Readiness readiness,
			VersionedTargetDirectory directory, MonotonicClock clock) {
		List<ApiRoute> routes = new ArrayList<>();
		routes.addAll(new JobRoutes(gateway, format).routes());
		routes.addAll(new WorkerRoutes(gateway, format, settings.limits().reportsPerCall()).routes());
		routes.addAll(new TargetRoutes(directory, format, clock, settings.limits().targets()).routes());
		routes.addAll(new DeclarationRoutes(gateway, format).routes());
		routes.addAll(new ViewRoutes(gateway, format).routes());
		routes.addAll(new HealthRoutes(readiness::problem).routes());
		return new ApiHandler(routes, format, settings.limits().controlBodyBytes());
	}

	@Provides
	@InstanceScope
	static Listeners listeners(InstanceSettings settings, ApiHandler api, RequestRouting routing,
			Optional<LeaderDuty> duty, HttpClient client, PeerListener peers, TargetExchange targets,
			ScheduledExecutorService timer, Readiness readiness, Closer closer) {
		return new Listeners(settings, List.of(routing.handler(), api), closer, () -> {
			client.start();
			peers.open();
			duty.ifPresent(LeaderDuty::start);
			targets.start(timer);
		}, readiness);
	}

}
