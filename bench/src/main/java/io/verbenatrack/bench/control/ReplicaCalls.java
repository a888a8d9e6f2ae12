package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import io.verbenatrack.control.ProposalOutcome;

/**
 * Simulated client that calls replicas as an entry does: over a link with latency, with a
 * timeout, and at the last known leader.
 */
final class ReplicaCalls {

	private static final long LINK_NANOS = Duration.ofMillis(1).toNanos();

	private static final long TIMEOUT_NANOS = Duration.ofMillis(800).toNanos();

	private final SimulatedCluster cluster;

	private final SplittableRandom random;

	private int target;

	ReplicaCalls(SimulatedCluster cluster, SplittableRandom random) {
		this.cluster = cluster;
		this.random = random;
	}

	VirtualTime time() {
		return this.cluster.time();
	}

	SplittableRandom random() {
		return this.random;
	}

	SimulatedReplica target() {
		return this.cluster.replicas().get(this.target);
	}

	/**
	 * Proposes a command once to the current replica.
	 * @param command the command
	 * @param answer receives the outcome, empty after a timeout
	 */
	void propose(byte[] command, Consumer<Optional<ProposalOutcome>> answer) {
		SimulatedReplica replica = target();
		Reply<ProposalOutcome> reply = new Reply<>(answer);
		time().after(LINK_NANOS,
				() -> replica.propose(command, (outcome) -> time().after(LINK_NANOS, () -> reply.arrive(outcome))));
		time().after(TIMEOUT_NANOS, reply::timeOut);
	}

	/**
	 * Reads the revision in force at the current replica after it has confirmed its
	 * leadership.
	 * @param answer receives the result, empty if the replica is not the leader or did
	 * not answer in time
	 */
	void read(Consumer<Optional<ConfigurationModel.Output>> answer) {
		SimulatedReplica replica = target();
		Reply<ConfigurationModel.Output> reply = new Reply<>(answer);
		time().after(LINK_NANOS, () -> replica.confirm((term) -> {
			if (term.isPresent()) {
				var held = replica.machine().inForce();
				var read = new ConfigurationModel.Output(false,
						held.change().map((change) -> change.value()).orElse(""), held.revision().number());
				time().after(LINK_NANOS, () -> reply.arrive(read));
			}
			else {
				time().after(LINK_NANOS, reply::timeOut);
			}
		}));
		time().after(TIMEOUT_NANOS, reply::timeOut);
	}

	/**
	 * Selects the replica for the next calls after a failure: the leader if it is known,
	 * else a random one.
	 * @param outcome the failure, which may name the leader
	 */
	void turn(Optional<ProposalOutcome> outcome) {
		if (outcome.isPresent() && outcome.get() instanceof ProposalOutcome.NotLeader notLeader
				&& notLeader.leader().isPresent()) {
			this.target = Integer.parseInt(notLeader.leader().get().value().substring(1));
			return;
		}
		this.target = this.random.nextInt(this.cluster.replicas().size());
	}

	private static final class Reply<T> {

		private final Consumer<Optional<T>> answer;

		private boolean done;

		private Reply(Consumer<Optional<T>> answer) {
			this.answer = answer;
		}

		private void arrive(T value) {
			end(Optional.of(value));
		}

		private void timeOut() {
			end(Optional.empty());
		}

		private void end(Optional<T> value) {
			if (!this.done) {
				this.done = true;
				this.answer.accept(value);
			}
		}

	}

}
