package io.verbenatrack.server;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;

import dagger.Module;
import dagger.Provides;
import io.grpc.BindableService;
import org.eclipse.jetty.client.HttpClient;

import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.driver.LoggingReplicaListener;
import io.verbenatrack.control.driver.Replica;
import io.verbenatrack.control.link.GrpcReplica;
import io.verbenatrack.model.Closer;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.policy.GuaranteeScheduler;
import io.verbenatrack.server.command.CommandCodec;
import io.verbenatrack.server.command.CommandExecutor;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.configuration.DeclarationsHolder;
import io.verbenatrack.server.exchange.PeerExchange;
import io.verbenatrack.server.http.ApiJsonCodec;
import io.verbenatrack.server.leader.LeaderDuty;
import io.verbenatrack.server.leader.LeaderLimits;
import io.verbenatrack.server.leader.LocalExecutor;
import io.verbenatrack.server.leader.ReplicatedCommands;
import io.verbenatrack.server.log.ControlStateMachine;
import io.verbenatrack.server.log.JobsState;
import io.verbenatrack.server.peer.LeaderGateway;
import io.verbenatrack.server.peer.NonReplicaExecutor;
import io.verbenatrack.server.peer.PeerChannels;
import io.verbenatrack.server.peer.PeerListener;
import io.verbenatrack.server.peer.PeerService;
import io.verbenatrack.server.worker.HttpWorkerPort;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.settings.PeerSettings;
import io.verbenatrack.state.RecordCodec;
import io.verbenatrack.state.claims.ClaimState;
import io.verbenatrack.state.configuration.ConfigurationState;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.LogEvent;
import io.verbenatrack.telemetry.Metrics;

/**
 * Provides the control log, the state machines that it drives and the calls between
 * instances.
 */
@Module
final class ControlModule {

	private static final Duration WORKER_LEASE = Duration.ofSeconds(10);

	private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(5);

	private ControlModule() {
	}

	@Provides
	static Supplier<Scheduler> schedulerFactory(InstanceSettings settings) {
		int rememberedJobs = settings.limits().rememberedJobs();
		return () -> new GuaranteeScheduler(rememberedJobs);
	}

	@Provides
	@InstanceScope
	static JobsState jobs(Supplier<Scheduler> schedulerFactory, RecordCodec codec) {
		return new JobsState(schedulerFactory, codec);
	}

	@Provides
	@InstanceScope
	@AcceptedDeclarations
	static DeclarationsHolder accepted() {
		return new DeclarationsHolder();
	}

	@Provides
	@InstanceScope
	static ConfigurationState configuration(@AcceptedDeclarations DeclarationsHolder accepted) {
		return new ConfigurationState((inForce) -> accepted.update(inForce.revision(), inForce.declarations()));
	}

	@Provides
	@InstanceScope
	static ClaimState claims(InstanceSettings settings) {
		return new ClaimState(settings.limits().rememberedAnswers(), settings.limits().rememberedAnswerBytes());
	}

	@Provides
	@InstanceScope
	static ControlStateMachine stateMachine(ConfigurationState configuration, ClaimState claims, JobsState jobs,
			RecordCodec codec) {
		return new ControlStateMachine(configuration, claims, jobs, codec);
	}

	@Provides
	@InstanceScope
	static Optional<GrpcReplica> grpcReplica(InstanceSettings settings, ControlStateMachine stateMachine,
			ConfigurationState configuration, EventLog events, LeaseClock clock, Closer closer) {
		if (settings.data().isPresent() && !clock.exact()) {
			events.write(LogEvent.LEASE_CLOCK_ESTIMATED);
		}
		return settings.data().map((folder) -> {
			ReplicaSettings replica = new ReplicaSettings(settings.cluster(), ReplicaPeers.self(settings),
					ReplicaPeers.all(settings), folder);
			try {
				return closer.register(GrpcReplica.start(
						replica, stateMachine, () -> new ConfigurationAuthority.Applied(settings.cluster(),
								configuration.latest().revision(), configuration.latest().declarations()),
						new LoggingReplicaListener(events), clock));
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		});
	}

	@Provides
	static Optional<Replica> replica(Optional<GrpcReplica> replica) {
		return replica.map(GrpcReplica::replica);
	}

	@Provides
	@InstanceScope
	static Optional<LeaderDuty> leaderDuty(Optional<Replica> replica, JobsState jobs, RecordCodec codec,
			HttpClient client, ApiJsonCodec jsonCodec, ScheduledExecutorService timer, InstantSource wallClock,
			LeaseClock clock, InstanceSettings settings, @AcceptedDeclarations DeclarationsHolder accepted,
			Metrics metrics, EventLog events, Closer closer) {
		return replica.map((log) -> {
			LeaderLimits limits = new LeaderLimits(settings.limits().ringCapacity(), settings.limits().workers(),
					settings.limits().unfinishedJobs(), settings.limits().unfinishedJobsPerAccount(), WORKER_LEASE);
			HttpWorkerPort workers = new HttpWorkerPort(client, jsonCodec, WORKER_LEASE);
			LeaderDuty duty = new LeaderDuty(log, jobs, codec, workers, timer, wallClock, clock, limits,
					accepted::declarations, new DecisionMetrics(metrics, events));
			accepted.onUpdate((declarations) -> duty.execute(new EntryCommand.AdoptDeclarations(declarations)));
			return closer.register(duty);
		});
	}

	@Provides
	@InstanceScope
	static PeerChannels channels(InstanceSettings settings, Closer closer) {
		return closer.register(new PeerChannels(settings.peers()));
	}

	@Provides
	@InstanceScope
	static Optional<LocalExecutor> local(Optional<Replica> replica, Optional<LeaderDuty> duty,
			ConfigurationState configuration, ClaimState claims, JobsState jobs, RecordCodec codec,
			InstantSource wallClock) {
		return duty.map((leaderDuty) -> new LocalExecutor(leaderDuty,
				new ReplicatedCommands(replica.orElseThrow(), configuration, claims, jobs, codec, wallClock)));
	}

	@Provides
	@InstanceScope
	static LeaderGateway gateway(InstanceSettings settings, Optional<LocalExecutor> replica, PeerChannels channels,
			CommandCodec codec, ScheduledExecutorService timer, MonotonicClock clock) {
		List<InstanceId> replicas = settings.peers()
			.stream()
			.filter(PeerSettings::replica)
			.map(PeerSettings::instance)
			.toList();
		Optional<CommandExecutor> local = replica.map((localExecutor) -> localExecutor);
		return new LeaderGateway(settings.instance(), local, replicas, channels, codec, timer, clock, COMMAND_TIMEOUT);
	}

	@Provides
	@InstanceScope
	static PeerListener peerListener(InstanceSettings settings, Optional<LocalExecutor> local,
			Optional<GrpcReplica> replica, CommandCodec codec, PeerExchange exchange, Closer closer) {
		CommandExecutor executor = local.map((localExecutor) -> (CommandExecutor) localExecutor)
			.orElseGet(NonReplicaExecutor::new);
		List<BindableService> services = new ArrayList<>(List.of(new PeerService(executor, codec, exchange::receive)));
		replica.map(GrpcReplica::service).ifPresent(services::add);
		return new PeerListener(settings.grpc(), closer, services);
	}

}
