package io.verbenatrack.server;

import java.time.InstantSource;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;

import dagger.Module;
import dagger.Provides;
import org.eclipse.jetty.client.HttpClient;

import io.verbenatrack.control.configuration.ConfigurationLease;
import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Closer;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.routing.RoutingSettings;
import io.verbenatrack.routing.VersionedTargetDirectory;
import io.verbenatrack.server.configuration.DeclarationsHolder;
import io.verbenatrack.server.exchange.GatewayClaimStore;
import io.verbenatrack.server.exchange.PeerExchange;
import io.verbenatrack.server.exchange.SlotUseTable;
import io.verbenatrack.server.peer.LeaderGateway;
import io.verbenatrack.server.peer.PeerChannels;
import io.verbenatrack.server.routing.RequestLimits;
import io.verbenatrack.server.routing.RequestRouting;
import io.verbenatrack.server.routing.RoutingOptions;
import io.verbenatrack.server.routing.TargetClient;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.state.RecordCodec;

/**
 * Provides request routing, the target directory and its exchange with the other
 * instances.
 */
@Module
final class RoutingModule {

	private static final int MAXIMUM_BUFFERED_BODY_BYTES = 256 * 1024;

	private static final int DEFAULT_ACCOUNT_WEIGHT = 1;

	private RoutingModule() {
	}

	@Provides
	@InstanceScope
	static VersionedTargetDirectory directory(InstanceSettings settings) {
		return new VersionedTargetDirectory(settings.instance());
	}

	@Provides
	@InstanceScope
	static SlotUseTable slots() {
		return new SlotUseTable();
	}

	@Provides
	@InstanceScope
	static PeerExchange exchange(InstanceSettings settings, VersionedTargetDirectory directory, SlotUseTable slots,
			RequestRouting routing, PeerChannels channels, RecordCodec codec, MonotonicClock clock) {
		return new PeerExchange(settings.instance(), directory, slots, routing::slotUseReceived,
				routing::instancesChanged, channels, codec, clock);
	}

	@Provides
	@InstanceScope
	static GatewayClaimStore claims(LeaderGateway gateway, InstanceSettings settings) {
		return new GatewayClaimStore(gateway, settings.instance(),
				settings.timeouts().requestMaximum().plus(settings.timeouts().answerRetention()));
	}

	@Provides
	@InstanceScope
	static RequestRouting routing(InstanceSettings settings, VersionedTargetDirectory directory,
			GatewayClaimStore claims, DeclarationsHolder declarations, InstantSource clock, MonotonicClock monotonic,
			ConfigurationLease lease, SlotUseTable slots, Closer closer) {
		HttpClient client = startedClient(closer);
		RequestLimits limits = new RequestLimits(settings.timeouts().requestMaximum(), MAXIMUM_BUFFERED_BODY_BYTES,
				settings.limits().requestBodyBytes());
		return closer.register(RequestRouting.start(new RoutingOptions(settings.instance(), settings.zone(), directory,
				claims, (account) -> weight(declarations, account), RoutingSettings.STANDARD, limits, client,
				slots::update, clock, monotonic, new SplittableRandom(ThreadLocalRandom.current().nextLong()),
				lease::admissionProblem)));
	}

	private static HttpClient startedClient(Closer closer) {
		HttpClient client = TargetClient.create(null);
		closer.register(client::stop);
		try {
			client.start();
		}
		catch (Exception ex) {
			throw new IllegalStateException("The HTTP client did not start. Check the limits on threads and files.",
					ex);
		}
		return client;
	}

	private static int weight(DeclarationsHolder declarations, AccountId account) {
		return declarations.declarations()
			.account(account)
			.map(AccountDeclaration::weight)
			.orElse(DEFAULT_ACCOUNT_WEIGHT);
	}

}
