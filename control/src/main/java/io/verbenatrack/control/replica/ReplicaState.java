package io.verbenatrack.control.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.StateChart;
import io.verbenatrack.protocol.control.HardState;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.LogRecord;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;

/**
 * What the parts of a replica share: its term, vote, log, role and clock.
 */
final class ReplicaState {

	private static final StateChart CHART = StateChart.load(ReplicaState.class, "/charts/replica.yaml");

	final ReplicaConfiguration configuration;

	final ReplicaId self;

	final RandomGenerator random;

	final Outbox outbox = new Outbox();

	final MembershipHistory members = new MembershipHistory();

	final EntryLog log;

	SnapshotHeader snapshot;

	HardState hard;

	ReplicaRole role;

	Optional<ReplicaId> leader = Optional.empty();

	long now;

	long commitIndex;

	/** The last index that is on this replica's disk. */
	long durableIndex;

	/** When the leader was last heard, or when this replica started. */
	long leaderHeard;

	long electionDeadline;

	ReplicaState(ReplicaConfiguration configuration, RecoveredLog found, RandomGenerator random, long now) {
		boolean formed = !found.hardState().getCluster().isEmpty();
		RecoveredLog recovered = formed ? found : RecoveredLog.EMPTY;
		this.configuration = configuration;
		this.self = ReplicaId.of(configuration.self());
		this.random = random;
		this.now = now;
		this.snapshot = recovered.snapshot();
		this.hard = recovered.hardState();
		this.log = new EntryLog(recovered.baseIndex(), recovered.baseTerm(), recovered.entries());
		this.commitIndex = this.snapshot.getIndex();
		this.durableIndex = this.log.lastIndex();
		this.role = formed ? ReplicaRole.FOLLOWER : ReplicaRole.UNFORMED;
		if (this.snapshot.getIndex() > 0) {
			this.members.add(this.snapshot.getIndex(), this.snapshot.getMembership());
		}
		for (LogEntry entry : recovered.entries()) {
			noteMembership(entry);
		}
		this.leaderHeard = now;
		resetElectionDeadline();
	}

	long term() {
		return this.hard.getTerm();
	}

	/**
	 * Moves along the chart.
	 * @param change what happened
	 * @throws IllegalStateException when the chart has no such move
	 */
	void move(RoleChange change) {
		String next = CHART.next(this.role.chartName(), change.chartName())
			.orElseThrow(() -> new IllegalStateException("The chart has no move from " + this.role.chartName() + " on "
					+ change.chartName() + ". Add it to replica.yaml."));
		this.role = ReplicaRole.ofChart(next);
	}

	boolean allows(RoleChange change) {
		return CHART.next(this.role.chartName(), change.chartName()).isPresent();
	}

	void adopt(HardState changed) {
		this.hard = changed;
		this.outbox.write(LogRecord.newBuilder().setHardState(changed).build());
	}

	/**
	 * Enters a higher term without a vote in it.
	 * @param term the term
	 */
	void enterTerm(long term) {
		adopt(this.hard.toBuilder().setTerm(term).clearVote().build());
		this.leader = Optional.empty();
	}

	void append(LogEntry entry) {
		if (entry.getIndex() <= this.log.lastIndex()) {
			this.log.truncateFrom(entry.getIndex());
			this.members.truncateFrom(entry.getIndex());
			this.durableIndex = Math.min(this.durableIndex, entry.getIndex() - 1);
		}
		this.log.append(entry);
		noteMembership(entry);
		this.outbox.write(LogRecord.newBuilder().setEntry(entry).build());
	}

	/** Notes the end of the log as durable once the disk says so. */
	void noteDurableEnd() {
		long end = this.log.lastIndex();
		long truncations = this.log.truncations();
		this.outbox.whenDurable(() -> {
			if (this.log.truncations() == truncations) {
				this.durableIndex = Math.max(this.durableIndex, end);
			}
		});
	}

	void noteMembership(LogEntry entry) {
		switch (entry.getBodyCase()) {
			case MEMBERSHIP -> this.members.add(entry.getIndex(), entry.getMembership());
			case RECOVERY -> this.members.add(entry.getIndex(), entry.getRecovery().getMembership());
			default -> {
			}
		}
	}

	List<LogRecord> allRecords() {
		List<LogRecord> records = new ArrayList<>();
		records.add(LogRecord.newBuilder().setHardState(this.hard).build());
		for (LogEntry entry : this.log.all()) {
			records.add(LogRecord.newBuilder().setEntry(entry).build());
		}
		return records;
	}

	void resetElectionDeadline() {
		long least = this.configuration.timings().electionTimeout().toNanos();
		this.electionDeadline = this.now + least + this.random.nextLong(least);
	}

	boolean isVoter() {
		return this.members.isVoter(this.self);
	}

	Optional<ReplicaMember> leaderMember() {
		return this.leader.flatMap((known) -> this.members.find(known));
	}

	Optional<InstanceId> leaderInstance() {
		return this.leader.map(ReplicaId::instance);
	}

	ReplicaMessage.Builder message(ReplicaMember to) {
		String name = to.getIncarnation().isEmpty() ? to.getInstance() : ReplicaId.of(to).text();
		return ReplicaMessage.newBuilder()
			.setCluster(this.hard.getCluster())
			.setFrom(this.self.text())
			.setTo(name)
			.setTerm(term());
	}

	void send(ReplicaMember to, ReplicaMessage.Builder message) {
		this.outbox.add(new ReplicaEffect.Send(to, message.build()));
	}

	/**
	 * Answers the sender of a message, also one that is no member here yet.
	 * @param message the message
	 * @return the sender
	 */
	ReplicaMember senderOf(ReplicaMessage message) {
		ReplicaId sender = ReplicaId.parse(message.getFrom());
		return this.members.find(sender)
			.orElseGet(() -> ReplicaMember.newBuilder()
				.setInstance(sender.instance().value())
				.setIncarnation(sender.incarnation())
				.build());
	}

	void note(ReplicaNotice notice, String detail) {
		this.outbox.add(new ReplicaEffect.Note(notice, detail));
	}

	Membership membership() {
		return this.members.current();
	}

}
