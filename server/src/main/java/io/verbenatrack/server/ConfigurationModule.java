package io.verbenatrack.server;

import java.time.Duration;
import java.util.Optional;

import dagger.Module;
import dagger.Provides;

import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.configuration.ConfigurationLease;
import io.verbenatrack.control.configuration.ConfigurationLeaseRenewer;
import io.verbenatrack.control.configuration.GrpcConfigurationClient;
import io.verbenatrack.control.link.GrpcReplica;
import io.verbenatrack.model.Closer;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.server.configuration.DeclarationsHolder;
import io.verbenatrack.server.configuration.LocalFirstConfigurationClient;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.state.configuration.ConfigurationState;

/**
 * Provides the configuration lease and the declarations in force on this instance.
 */
@Module
final class ConfigurationModule {

	private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(500);

	private static final Duration RENEWAL_TIMEOUT = Duration.ofMillis(500);

	private ConfigurationModule() {
	}

	@Provides
	@InstanceScope
	static DeclarationsHolder declarationsInForce() {
		return new DeclarationsHolder();
	}

	@Provides
	@InstanceScope
	static ConfigurationLease lease(LeaseClock clock, DeclarationsHolder inForce) {
		return new ConfigurationLease(clock, inForce::update);
	}

	@Provides
	@InstanceScope
	static ConfigurationLeaseRenewer renewal(InstanceSettings settings, ConfigurationLease lease,
			Optional<GrpcReplica> replica, ConfigurationState configuration, LeaseClock clock, Closer closer) {
		Optional<ConfigurationAuthority> local = replica.map((grpcReplica) -> new ConfigurationAuthority(
				grpcReplica.replica(), () -> new ConfigurationAuthority.Applied(settings.cluster(),
						configuration.latest().revision(), configuration.latest().declarations()),
				GrpcReplica.CONFIGURATION_LEASE));
		LocalFirstConfigurationClient client = closer.register(new LocalFirstConfigurationClient(settings.instance(),
				local, new GrpcConfigurationClient(RENEWAL_TIMEOUT)));
		return closer.register(new ConfigurationLeaseRenewer(settings.instance(), lease, ReplicaPeers.all(settings),
				client, clock, RENEWAL_INTERVAL));
	}

}
