package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import io.verbenatrack.control.ProposalOutcome;

/**
 * Simulated client that calls replicas as an entry does: over a link with latency, with a
 * timeout, and at the last known leader.
 */
final class ReplicaClient {

	private static final long LINK_NANOS = Duration.ofMillis(1).toNanos();

	private static final long TIMEOUT_NANOS = Duration.ofMillis(800).toNanos();

	private final SimulatedCluster cluster;

	private final SplittableRandom random;

	private int currentIndex;

	ReplicaClient(SimulatedCluster cluster, SplittableRandom random) {
		this.cluster = cluster;
		this.random = random;
	}

	VirtualClock clock() {
		return this.cluster.clock();
	}

	SplittableRandom random() {
		return this.random;
	}

	SimulatedReplica currentReplica() {
		return this.cluster.replicas().get(this.currentIndex);
	}

	/**
	 * Proposes a command once to the current replica.
	 * @param command the command
	 * @param callback receives the outcome, empty after a timeout
	 */
	void propose(byte[] command, Consumer<Optional<ProposalOutcome>> callback) {
		SimulatedReplica replica = currentReplica();
		PendingReply<ProposalOutcome> reply = new PendingReply<>(callback);
		clock().schedule(LINK_NANOS,
				() -> replica.propose(command, (outcome) -> clock().schedule(LINK_NANOS, () -> reply.arrive(outcome))));
		clock().schedule(TIMEOUT_NANOS, reply::timeOut);
	}

	/**
	 * Reads the revision in force at the current replica after it has confirmed its
	 * leadership.
	 * @param callback receives the result, empty if the replica is not the leader or did
	 * not answer in time
	 */
	void read(Consumer<Optional<ConfigurationModel.Output>> callback) {
		SimulatedReplica replica = currentReplica();
		PendingReply<ConfigurationModel.Output> reply = new PendingReply<>(callback);
		clock().schedule(LINK_NANOS, () -> replica.confirm((term) -> {
			if (term.isPresent()) {
				var inForce = replica.machine().inForce();
				var read = new ConfigurationModel.Output(false,
						inForce.change().map((change) -> change.value()).orElse(""), inForce.revision().number());
				clock().schedule(LINK_NANOS, () -> reply.arrive(read));
			}
			else {
				clock().schedule(LINK_NANOS, reply::timeOut);
			}
		}));
		clock().schedule(TIMEOUT_NANOS, reply::timeOut);
	}

	/**
	 * Selects the replica for the next calls after a failure: the leader if it is known,
	 * else a random one.
	 * @param outcome the failure, which may name the leader
	 */
	void selectReplica(Optional<ProposalOutcome> outcome) {
		if (outcome.isPresent() && outcome.get() instanceof ProposalOutcome.NotLeader notLeader
				&& notLeader.leader().isPresent()) {
			this.currentIndex = Integer.parseInt(notLeader.leader().get().value().substring(1));
			return;
		}
		List<SimulatedReplica> present = this.cluster.present();
		this.currentIndex = this.cluster.replicas().indexOf(present.get(this.random.nextInt(present.size())));
	}

	private static final class PendingReply<T> {

		private final Consumer<Optional<T>> callback;

		private boolean done;

		private PendingReply(Consumer<Optional<T>> callback) {
			this.callback = callback;
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
				this.callback.accept(value);
			}
		}

	}

}
