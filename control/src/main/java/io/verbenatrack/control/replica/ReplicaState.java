package io.verbenatrack.control.replica;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.model.ClockReading;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.HeldTime;
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
 * The state shared by the components of a replica: term, vote, log, role and time.
 */
final class ReplicaState {

	private static final StateChart CHART = StateChart.load(ReplicaState.class, "/charts/replica.yaml");

	final ReplicaConfiguration configuration;

	final ReplicaId self;

	final RandomGenerator random;

	final EffectBuffer effects = new EffectBuffer();

	final MembershipHistory memberships = new MembershipHistory();

	final EntryLog log;

	SnapshotHeader snapshot;

	HardState hardState;

	ReplicaRole role;

	Optional<ReplicaId> leader = Optional.empty();

	/** The latest reading for the leader lease, in nanoseconds; see {@link HeldTime}. */
	long nowNanos;

	/**
	 * The latest reading for the promise to a leader not to vote for another one.
	 */
	GrantedTime grantedNow;

	long commitIndex;

	/** The last index that is durable on this replica. */
	long durableIndex;

	/** The time of the last contact with a leader, or of the start of this replica. */
	GrantedTime lastLeaderContact;

	/** When this replica may ask for votes, its own included. */
	GrantedTime electionDeadline;

	ReplicaState(ReplicaConfiguration configuration, RecoveredLog recoveredFromDisk, RandomGenerator random,
			ClockReading now) {
		boolean formed = !recoveredFromDisk.hardState().getCluster().isEmpty();
		RecoveredLog recovered = formed ? recoveredFromDisk : RecoveredLog.EMPTY;
		this.configuration = configuration;
		this.self = ReplicaId.of(configuration.self());
		this.random = random;
		advanceClock(now);
		this.snapshot = recovered.snapshot();
		this.hardState = recovered.hardState();
		this.log = new EntryLog(recovered.baseIndex(), recovered.baseTerm(), recovered.entries());
		this.commitIndex = this.snapshot.getIndex();
		this.durableIndex = this.log.lastIndex();
		this.role = formed ? ReplicaRole.FOLLOWER : ReplicaRole.UNFORMED;
		if (this.snapshot.getIndex() > 0) {
			this.memberships.add(this.snapshot.getIndex(), this.snapshot.getMembership());
		}
		for (LogEntry entry : recovered.entries()) {
			recordMembership(entry);
		}
		this.lastLeaderContact = now.granted();
		resetElectionDeadline();
	}

	void advanceClock(ClockReading now) {
		this.nowNanos = now.held().nanos();
		this.grantedNow = now.granted();
	}

	long term() {
		return this.hardState.getTerm();
	}

	/**
	 * Changes the role according to the state chart.
	 * @param change the event
	 * @throws IllegalStateException if the state chart has no such transition
	 */
	void transition(RoleChange change) {
		String next = CHART.next(this.role.chartName(), change.chartName())
			.orElseThrow(() -> new IllegalStateException("The state chart has no transition from "
					+ this.role.chartName() + " on " + change.chartName() + ". Add it to replica.yaml."));
		this.role = ReplicaRole.fromChartName(next);
	}

	boolean canTransition(RoleChange change) {
		return CHART.next(this.role.chartName(), change.chartName()).isPresent();
	}

	void persistHardState(HardState changed) {
		this.hardState = changed;
		this.effects.addRecord(LogRecord.newBuilder().setHardState(changed).build());
	}

	/**
	 * Enters a higher term, in which this replica has not voted.
	 * @param term the term
	 */
	void enterTerm(long term) {
		persistHardState(this.hardState.toBuilder().setTerm(term).clearVote().build());
		this.leader = Optional.empty();
	}

	void append(LogEntry entry) {
		if (entry.getIndex() <= this.log.lastIndex()) {
			this.log.truncateFrom(entry.getIndex());
			this.memberships.truncateFrom(entry.getIndex());
			this.durableIndex = Math.min(this.durableIndex, entry.getIndex() - 1);
		}
		this.log.append(entry);
		recordMembership(entry);
		this.effects.addRecord(LogRecord.newBuilder().setEntry(entry).build());
	}

	/** Advances the durable index to the current end of the log once it is synced. */
	void trackDurableIndex() {
		long end = this.log.lastIndex();
		long truncations = this.log.truncations();
		this.effects.runWhenDurable(() -> {
			if (this.log.truncations() == truncations) {
				this.durableIndex = Math.max(this.durableIndex, end);
			}
		});
	}

	void recordMembership(LogEntry entry) {
		switch (entry.getBodyCase()) {
			case MEMBERSHIP -> this.memberships.add(entry.getIndex(), entry.getMembership());
			case RECOVERY -> this.memberships.add(entry.getIndex(), entry.getRecovery().getMembership());
			default -> {
			}
		}
	}

	List<LogRecord> allRecords() {
		List<LogRecord> records = new ArrayList<>();
		records.add(LogRecord.newBuilder().setHardState(this.hardState).build());
		for (LogEntry entry : this.log.all()) {
			records.add(LogRecord.newBuilder().setEntry(entry).build());
		}
		return records;
	}

	void resetElectionDeadline() {
		long minimum = this.configuration.timings().electionTimeout().toNanos();
		this.electionDeadline = this.grantedNow.plus(Duration.ofNanos(minimum + this.random.nextLong(minimum)));
	}

	boolean isVoter() {
		return this.memberships.isVoter(this.self);
	}

	Optional<ReplicaMember> leaderMember() {
		return this.leader.flatMap((known) -> this.memberships.find(known));
	}

	Optional<InstanceId> leaderInstance() {
		return this.leader.map(ReplicaId::instance);
	}

	ReplicaMessage.Builder message(ReplicaMember to) {
		String name = to.getIncarnation().isEmpty() ? to.getInstance() : ReplicaId.of(to).text();
		return ReplicaMessage.newBuilder()
			.setCluster(this.hardState.getCluster())
			.setFrom(this.self.text())
			.setFromAddress(this.configuration.self().getAddress())
			.setTo(name)
			.setTerm(term());
	}

	void send(ReplicaMember to, ReplicaMessage.Builder message) {
		this.effects.add(new ReplicaEffect.Send(to, message.build()));
	}

	/**
	 * Returns the sender of a message, even if it is not a member yet.
	 * @param message the message
	 * @return the sender
	 */
	ReplicaMember senderOf(ReplicaMessage message) {
		ReplicaId sender = ReplicaId.parse(message.getFrom());
		return this.memberships.find(sender)
			.orElseGet(() -> ReplicaMember.newBuilder()
				.setInstance(sender.instance().value())
				.setIncarnation(sender.incarnation())
				.setAddress(message.getFromAddress())
				.build());
	}

	void notifyListener(ReplicaNotice notice, String detail) {
		this.effects.add(new ReplicaEffect.Notify(notice, detail));
	}

	Membership membership() {
		return this.memberships.current();
	}

}
