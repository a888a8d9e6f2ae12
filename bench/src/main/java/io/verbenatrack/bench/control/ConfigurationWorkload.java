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

	private static final double READS = 0.3;

	private static final byte[] DECLARATIONS = "{\"defaults\": {}}".getBytes(StandardCharsets.UTF_8);

	private final List<Operation<ConfigurationModel.Input, ConfigurationModel.Output>> history = new ArrayList<>();

	private final SimulatedCluster cluster;

	private final long thinkNanos;

	private final Acceptances acceptances;

	private long known;

	private int changes;

	private long endNanos;

	ConfigurationWorkload(SimulatedCluster cluster, Duration think, Acceptances acceptances) {
		this.cluster = cluster;
		this.thinkNanos = think.toNanos();
		this.acceptances = acceptances;
	}

	void start(int operators, long untilNanos, SplittableRandom random) {
		this.endNanos = untilNanos;
		for (int i = 0; i < operators; i++) {
			ReplicaCalls calls = new ReplicaCalls(this.cluster, random.split());
			String operator = "operator-" + i;
			think(calls, operator);
		}
	}

	private void think(ReplicaCalls calls, String operator) {
		calls.time().after(this.thinkNanos / 2 + calls.random().nextLong(this.thinkNanos), () -> act(calls, operator));
	}

	private void act(ReplicaCalls calls, String operator) {
		if (calls.time().nowNanos() > this.endNanos
				|| this.history.size() + 4 >= LinearizabilityChecker.MAXIMUM_OPERATIONS) {
			return;
		}
		if (calls.random().nextDouble() < READS) {
			read(calls, operator, calls.time().nowNanos());
			return;
		}
		this.changes++;
		var input = new ConfigurationModel.Input(false, "c" + this.changes, this.known);
		change(calls, operator, new Attempt(input, calls.time().nowNanos(), 1));
	}

	private void read(ReplicaCalls calls, String operator, long invoked) {
		calls.read((read) -> {
			if (read.isPresent()) {
				this.history.add(new Operation<>(new ConfigurationModel.Input(true, "", 0), invoked,
						calls.time().nowNanos(), read));
				this.known = Math.max(this.known, read.get().revision());
			}
			else {
				calls.turn(Optional.empty());
			}
			think(calls, operator);
		});
	}

	private void change(ReplicaCalls calls, String operator, Attempt attempt) {
		ChangeId change = new ChangeId(attempt.input().change());
		byte[] command = ControlMachine.configurationCommand(
				ConfigurationCodec.change(change, operator, attempt.input().expectedRevision(), DECLARATIONS));
		calls.propose(command, (outcome) -> {
			if (outcome.isPresent() && outcome.get() instanceof ProposalOutcome.Committed committed) {
				settle(calls, attempt, ConfigurationCodec.result(change, committed.result()));
				think(calls, operator);
				return;
			}
			calls.turn(outcome);
			if (attempt.sends() >= MAXIMUM_SENDS) {
				this.history.add(new Operation<>(attempt.input(), attempt.invoked(), Long.MAX_VALUE, Optional.empty()));
				think(calls, operator);
				return;
			}
			calls.time()
				.after(RETRY_NANOS, () -> change(calls, operator,
						new Attempt(attempt.input(), attempt.invoked(), attempt.sends() + 1)));
		});
	}

	private void settle(ReplicaCalls calls, Attempt attempt, ChangeResult result) {
		ConfigurationModel.Output output = switch (result) {
			case ChangeResult.Accepted accepted ->
				new ConfigurationModel.Output(true, attempt.input().change(), accepted.revision().number());
			case ChangeResult.Lost lost -> new ConfigurationModel.Output(false,
					lost.winner().map(ChangeId::value).orElse(""), lost.revision().number());
			case ChangeResult.DifferentChange different -> new ConfigurationModel.Output(false, "different", -1);
		};
		long now = calls.time().nowNanos();
		this.history.add(new Operation<>(attempt.input(), attempt.invoked(), now, Optional.of(output)));
		this.known = Math.max(this.known, output.revision());
		if (output.accepted()) {
			this.acceptances.accepted(output.revision(), now);
		}
	}

	List<Operation<ConfigurationModel.Input, ConfigurationModel.Output>> history() {
		return this.history;
	}

	long lastAccepted() {
		return this.known;
	}

	/**
	 * Listener for accepted changes.
	 */
	interface Acceptances {

		/**
		 * Called when a change was accepted.
		 * @param revision the revision that the change created
		 * @param nowNanos the virtual time at which the operator received the reply, in
		 * nanoseconds
		 */
		void accepted(long revision, long nowNanos);

	}

	private record Attempt(ConfigurationModel.Input input, long invoked, int sends) {

	}

}
