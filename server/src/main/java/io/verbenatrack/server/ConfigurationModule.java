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
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.server.configuration.DeclarationsHolder;
import io.verbenatrack.server.configuration.LocalFirstClient;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.state.configuration.ConfigurationState;

/**
 * Provides the configuration in force on this instance.
 */
@Module
final class ConfigurationModule {

	private static final Duration RENEWAL_INTERVAL = Duration.ofMillis(500);

	private static final Duration RENEWAL_TIMEOUT = Duration.ofMillis(500);

	private ConfigurationModule() {
	}

	@Provides
	@InstanceScope
	static DeclarationsHolder inForce() {
		return new DeclarationsHolder();
	}

	@Provides
	@InstanceScope
	static ConfigurationLease lease(MonotonicClock clock, DeclarationsHolder inForce) {
		return new ConfigurationLease(clock, inForce::accept);
	}

	@Provides
	@InstanceScope
	static ConfigurationLeaseRenewer renewal(InstanceSettings settings, ConfigurationLease lease,
			Optional<GrpcReplica> replica, ConfigurationState configuration, MonotonicClock clock, Closer closer) {
		Optional<ConfigurationAuthority> local = replica.map((known) -> new ConfigurationAuthority(
				known.replica(), () -> new ConfigurationAuthority.Applied(settings.cluster(),
						configuration.latest().revision(), configuration.latest().declarations()),
				GrpcReplica.CONFIGURATION_LEASE));
		LocalFirstClient client = closer
			.register(new LocalFirstClient(settings.instance(), local, new GrpcConfigurationClient(RENEWAL_TIMEOUT)));
		return closer.register(new ConfigurationLeaseRenewer(settings.instance(), lease, ReplicaPeers.all(settings),
				client, clock, RENEWAL_INTERVAL));
	}

}
