package io.verbenatrack.bench.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * Checks the safety properties of the replicas after every event of a schedule.
 */
final class SafetyMonitor {

	private final SimulatedCluster cluster;

	private final Map<Long, ByteString> committed = new TreeMap<>();

	private final Map<Long, ReplicaId> leaders = new TreeMap<>();

	private final Map<String, String> lastLeaders = new TreeMap<>();

	private final List<String> violations = new ArrayList<>();

	private Consumer<SimulatedReplica> observer = (replica) -> {
	};

	private long resumes;

	private long wrongUncheckedResumes;

	private long unknownResumes;

	SafetyMonitor(SimulatedCluster cluster) {
		this.cluster = cluster;
	}

	/**
	 * Sets the observer that is called with each replica after each of its events.
	 * @param newObserver the observer; it must not change the replica during the call
	 */
	void observer(Consumer<SimulatedReplica> newObserver) {
		this.observer = newObserver;
	}

	void observe(SimulatedReplica replica) {
		this.observer.accept(replica);
		if (replica.core().role().leading()) {
			ReplicaId earlier = this.leaders.putIfAbsent(replica.core().term(), replica.id());
			if (earlier != null && !earlier.equals(replica.id())) {
				recordViolation(
						"two leaders in term " + replica.core().term() + ": " + earlier + " and " + replica.id());
			}
		}
		if (replica.leads()) {
			long leaseHolders = this.cluster.replicas().stream().filter(SimulatedReplica::leads).count();
			if (leaseHolders > 1) {
				recordViolation("two replicas hold a leader lease at once");
			}
		}
	}

	void committed(SimulatedReplica replica, LogEntry entry) {
		ByteString earlier = this.committed.putIfAbsent(entry.getIndex(), entry.toByteString());
		if (earlier != null && !earlier.equals(entry.toByteString())) {
			recordViolation(
					"entry " + entry.getIndex() + " committed by " + replica.id() + " differs from an earlier commit");
		}
	}

	/**
	 * Counts whether a follower of a new leader could have resumed from its last index
	 * alone, without comparing terms.
	 * @param follower the follower
	 * @param message a message that is delivered to it
	 */
	void delivered(SimulatedReplica follower, ReplicaMessage message) {
		String leaderAndTerm = message.getFrom() + "@" + message.getTerm();
		if (!message.hasAppendRequest() || message.getTerm() < follower.core().term()
				|| leaderAndTerm.equals(this.lastLeaders.put(follower.id().text(), leaderAndTerm))) {
			return;
		}
		this.cluster.replicas()
			.stream()
			.filter((leader) -> leader.alive() && leader.id().text().equals(message.getFrom()))
			.forEach((leader) -> countResume(follower, leader));
	}

	private void countResume(SimulatedReplica follower, SimulatedReplica leader) {
		long last = follower.core().lastIndex();
		long leadersTerm = leader.core().termAt(last);
		this.resumes++;
		if (last > leader.core().lastIndex()) {
			this.wrongUncheckedResumes++;
		}
		else if (leadersTerm < 0) {
			this.unknownResumes++;
		}
		else if (leadersTerm != follower.core().termAt(last)) {
			this.wrongUncheckedResumes++;
		}
	}

	void recordViolation(String violation) {
		this.violations.add("at " + this.cluster.clock().nowNanos() / 1_000_000 + " ms: " + violation);
	}

	List<String> violations() {
		return this.violations;
	}

	long resumes() {
		return this.resumes;
	}

	long wrongUncheckedResumes() {
		return this.wrongUncheckedResumes;
	}

	long unknownResumes() {
		return this.unknownResumes;
	}

	long terms() {
		return this.leaders.size();
	}

	long committedEntries() {
		return this.committed.size();
	}

}
