package io.verbenatrack.control.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * The memberships by log index. The latest one takes effect as soon as it is in the log,
 * before it is committed (Ongaro, 2014, section 4.1).
 */
final class MembershipHistory {

	private final TreeMap<Long, Membership> byIndex = new TreeMap<>();

	void add(long index, Membership membership) {
		this.byIndex.put(index, membership);
	}

	void truncateFrom(long index) {
		this.byIndex.tailMap(index, true).clear();
	}

	void discardBefore(long index) {
		Long key = this.byIndex.floorKey(index);
		if (key != null) {
			this.byIndex.headMap(key, false).clear();
		}
	}

	void reset(long index, Membership membership) {
		this.byIndex.clear();
		this.byIndex.put(index, membership);
	}

	Membership current() {
		return this.byIndex.isEmpty() ? Membership.getDefaultInstance() : this.byIndex.lastEntry().getValue();
	}

	long currentIndex() {
		return this.byIndex.isEmpty() ? 0 : this.byIndex.lastKey();
	}

	Membership at(long index) {
		var entry = this.byIndex.floorEntry(index);
		return (entry != null) ? entry.getValue() : Membership.getDefaultInstance();
	}

	List<ReplicaId> voters() {
		return current().getVotersList().stream().map(ReplicaId::of).toList();
	}

	boolean isVoter(ReplicaId replica) {
		return voters().contains(replica);
	}

	List<ReplicaMember> all() {
		List<ReplicaMember> members = new ArrayList<>(current().getVotersList());
		members.addAll(current().getLearnersList());
		return members;
	}

	Optional<ReplicaMember> find(ReplicaId replica) {
		return Stream.concat(current().getVotersList().stream(), current().getLearnersList().stream())
			.filter((member) -> ReplicaId.of(member).equals(replica))
			.findFirst();
	}

	int quorum() {
		return current().getVotersCount() / 2 + 1;
	}

}
