package io.verbenatrack.bench.control;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import io.verbenatrack.bench.control.LinearizabilityChecker.Operation;
import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.model.ChangeId;
import io.verbenatrack.state.configuration.ChangeResult;
import io.verbenatrack.state.configuration.ConfigurationCodec;

/**
 * Simulated operators that concurrently read and change the configuration. They resend
 * changes whose outcome is unknown.
 */
final class ConfigurationWorkload {

	private static final int MAXIMUM_SENDS = 12;

	private static final long RETRY_NANOS = Duration.ofMillis(60).toNanos();

	private static final double READ_PROBABILITY = 0.3;

	private static final byte[] DECLARATIONS = "{\"defaults\": {}}".getBytes(StandardCharsets.UTF_8);

	private final List<Operation<ConfigurationModel.Input, ConfigurationModel.Output>> history = new ArrayList<>();

	private final SimulatedCluster cluster;

	private final long meanPauseNanos;

	private final AcceptanceListener listener;

	private long latestRevision;

	private int changeCount;

	private long endNanos;

	ConfigurationWorkload(SimulatedCluster cluster, Duration meanPause, AcceptanceListener listener) {
		this.cluster = cluster;
		this.meanPauseNanos = meanPause.toNanos();
		this.listener = listener;
	}

	void start(int operators, long untilNanos, SplittableRandom random) {
		this.endNanos = untilNanos;
		for (int i = 0; i < operators; i++) {
			ReplicaClient client = new ReplicaClient(this.cluster, random.split());
			String operator = "operator-" + i;
			scheduleNext(client, operator);
		}
	}

	private void scheduleNext(ReplicaClient client, String operator) {
		client.clock()
			.schedule(this.meanPauseNanos / 2 + client.random().nextLong(this.meanPauseNanos),
					() -> sendNext(client, operator));
	}

	private void sendNext(ReplicaClient client, String operator) {
		if (client.clock().nowNanos() > this.endNanos
				|| this.history.size() + 4 >= LinearizabilityChecker.MAXIMUM_OPERATIONS) {
			return;
		}
		if (client.random().nextDouble() < READ_PROBABILITY) {
			read(client, operator, client.clock().nowNanos());
			return;
		}
		this.changeCount++;
		var input = new ConfigurationModel.Input(false, "c" + this.changeCount, this.latestRevision);
		change(client, operator, new PendingChange(input, client.clock().nowNanos(), 1));
	}

	private void read(ReplicaClient client, String operator, long invoked) {
		client.read((read) -> {
			if (read.isPresent()) {
				this.history.add(new Operation<>(new ConfigurationModel.Input(true, "", 0), invoked,
						client.clock().nowNanos(), read));
				this.latestRevision = Math.max(this.latestRevision, read.get().revision());
			}
			else {
				client.selectReplica(Optional.empty());
			}
			scheduleNext(client, operator);
		});
	}

	private void change(ReplicaClient client, String operator, PendingChange pending) {
		ChangeId change = new ChangeId(pending.input().change());
		byte[] command = SimulatedStateMachine.configurationCommand(
				ConfigurationCodec.change(change, operator, pending.input().expectedRevision(), DECLARATIONS));
		client.propose(command, (outcome) -> {
			if (outcome.isPresent() && outcome.get() instanceof ProposalOutcome.Committed committed) {
				recordResult(client, pending, ConfigurationCodec.result(change, committed.result()));
				scheduleNext(client, operator);
				return;
			}
			client.selectReplica(outcome);
			if (pending.sends() >= MAXIMUM_SENDS) {
				this.history.add(new Operation<>(pending.input(), pending.invoked(), Long.MAX_VALUE, Optional.empty()));
				scheduleNext(client, operator);
				return;
			}
			client.clock()
				.schedule(RETRY_NANOS, () -> change(client, operator,
						new PendingChange(pending.input(), pending.invoked(), pending.sends() + 1)));
		});
	}

	private void recordResult(ReplicaClient client, PendingChange pending, ChangeResult result) {
		ConfigurationModel.Output output = switch (result) {
			case ChangeResult.Accepted accepted ->
				new ConfigurationModel.Output(true, pending.input().change(), accepted.revision().number());
			case ChangeResult.Lost lost -> new ConfigurationModel.Output(false,
					lost.winner().map(ChangeId::value).orElse(""), lost.revision().number());
			case ChangeResult.DifferentChange different -> new ConfigurationModel.Output(false, "different", -1);
		};
		long now = client.clock().nowNanos();
		this.history.add(new Operation<>(pending.input(), pending.invoked(), now, Optional.of(output)));
		this.latestRevision = Math.max(this.latestRevision, output.revision());
		if (output.accepted()) {
			this.listener.accepted(output.revision(), now);
		}
	}

	List<Operation<ConfigurationModel.Input, ConfigurationModel.Output>> history() {
		return this.history;
	}

	long lastAccepted() {
		return this.latestRevision;
	}

	/**
	 * Listener for accepted changes.
	 */
	interface AcceptanceListener {

		/**
		 * Called when a change was accepted.
		 * @param revision the revision that the change created
		 * @param nowNanos the virtual time at which the operator received the reply, in
		 * nanoseconds
		 */
		void accepted(long revision, long nowNanos);

	}

	private record PendingChange(ConfigurationModel.Input input, long invoked, int sends) {

	}

}
