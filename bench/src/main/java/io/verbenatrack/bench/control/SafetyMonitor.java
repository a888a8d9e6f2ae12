package io.verbenatrack.bench.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.control.replica.ReplicaRole;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * Checks the safety properties of the replicas after every event of a schedule.
 */
final class SafetyMonitor {

	private final SimulatedCluster cluster;

	private final TreeMap<Long, ByteString> committed = new TreeMap<>();

	private final Map<Long, CommitTerms> commitTerms = new TreeMap<>();

	private Membership committedMembership = Membership.getDefaultInstance();

	private final Set<String> clusters = new TreeSet<>();

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
		checkCluster(replica);
		if (replica.core().role().leading()) {
			ReplicaId earlier = this.leaders.putIfAbsent(replica.core().term(), replica.id());
			if (earlier == null) {
				checkCommittedEntries(replica);
			}
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

	// A replica whose disk fails while it forms a cluster has told nobody of it.
	private void checkCluster(SimulatedReplica replica) {
		ReplicaRole role = replica.core().role();
		boolean formed = role != ReplicaRole.UNFORMED && role != ReplicaRole.FAULTED;
		if (formed && this.clusters.add(replica.core().cluster()) && this.clusters.size() > 1) {
			recordViolation(replica.id() + " is in a second cluster");
		}
	}

	// The terms of entries that the leader has compacted are checked when a snapshot is
	// restored.
	private void checkCommittedEntries(SimulatedReplica leader) {
		long term = leader.core().term();
		this.commitTerms.forEach((index, terms) -> {
			long held = leader.core().termAt(index);
			boolean missing = index > leader.core().lastIndex() || (held >= 0 && held != terms.entryTerm());
			if (terms.reportedTerm() < term && missing) {
				recordViolation("the leader of term " + term + ", " + leader.id() + ", does not hold entry " + index
						+ " of term " + terms.entryTerm() + ", reported as committed in term " + terms.reportedTerm());
			}
		});
	}

	/**
	 * Checks that a snapshot ends with the entry that was committed.
	 * @param replica the replica that restores it
	 * @param header the description of the snapshot
	 */
	void restored(SimulatedReplica replica, SnapshotHeader header) {
		CommitTerms terms = this.commitTerms.get(header.getIndex());
		if (terms == null || terms.entryTerm() != header.getTerm()) {
			recordViolation("the snapshot up to entry " + header.getIndex() + " of term " + header.getTerm() + " that "
					+ replica.id() + " restores differs from what was committed");
		}
	}

	/**
	 * Returns the membership that was committed last.
	 * @return the membership
	 */
	Membership committedMembership() {
		return this.committedMembership;
	}

	void committed(SimulatedReplica replica, LogEntry entry) {
		if (this.commitTerms.putIfAbsent(entry.getIndex(),
				new CommitTerms(entry.getTerm(), replica.core().term())) == null && entry.hasMembership()) {
			this.committedMembership = entry.getMembership();
		}
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

	/**
	 * Terms of a committed entry.
	 *
	 * @param entryTerm the term of the entry
	 * @param reportedTerm the term in which a replica first reported it as committed
	 */
	private record CommitTerms(long entryTerm, long reportedTerm) {

	}

}
