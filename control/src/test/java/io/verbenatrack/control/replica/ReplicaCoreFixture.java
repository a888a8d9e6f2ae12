package io.verbenatrack.control.replica;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.testng.annotations.BeforeMethod;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.model.ClockReading;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.HeldTime;
import io.verbenatrack.protocol.control.Announcement;
import io.verbenatrack.protocol.control.AppendReply;
import io.verbenatrack.protocol.control.HardState;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;
import io.verbenatrack.protocol.control.VoteReply;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A replica in term three of a cluster of three voters, with its clock, its messages and
 * its disk, which syncs at once.
 */
abstract class ReplicaCoreFixture {

	static final String CLUSTER = "test-1";

	static final long SECOND = Duration.ofSeconds(1).toNanos();

	static final Membership THREE_VOTERS = Membership.newBuilder()
		.addVoters(member("a"))
		.addVoters(member("b"))
		.addVoters(member("c"))
		.build();

	final List<ReplicaMessage> sent = new ArrayList<>();

	final List<ReplicaNotice> notices = new ArrayList<>();

	final List<ReplicaEffect> snapshotWork = new ArrayList<>();

	ReplicaCore core;

	long now;

	long suspendedNanos;

	@BeforeMethod
	void startReplicaInTermThree() {
		this.now = SECOND;
		this.suspendedNanos = 0;
		this.sent.clear();
		this.notices.clear();
		this.snapshotWork.clear();
		startWithMembership(MembershipPolicy.DEFAULT, THREE_VOTERS);
	}

	void startWithMembership(MembershipPolicy policy, Membership membership) {
		List<LogEntry> entries = List.of(entry(1, 1).setMembership(membership).build(), entry(2, 2).build());
		HardState hard = HardState.newBuilder().setCluster(CLUSTER).setTerm(3).build();
		start(policy, new RecoveredLog(hard, SnapshotHeader.getDefaultInstance(), 0, 0, entries));
	}

	void start(MembershipPolicy policy, RecoveredLog recovered) {
		this.core = new ReplicaCore(new ReplicaConfiguration("test", member("a"), THREE_VOTERS.getVotersList(),
				ReplicaTimings.DEFAULT, ReplicaLimits.DEFAULT, policy), recovered, new SplittableRandom(1), reading());
		run(new ReplicaEvent.Tick());
	}

	ClockReading reading() {
		return new ClockReading(new HeldTime(this.now + this.suspendedNanos), new GrantedTime(this.now));
	}

	static ReplicaMember member(String name) {
		return ReplicaMember.newBuilder().setInstance(name).setIncarnation("1").build();
	}

	static LogEntry.Builder entry(long index, long term) {
		return LogEntry.newBuilder().setIndex(index).setTerm(term);
	}

	static ReplicaMessage.Builder from(String name, long term) {
		String sender = name.contains("/") ? name : name + "/1";
		return ReplicaMessage.newBuilder().setCluster(CLUSTER).setFrom(sender).setTo("a/1").setTerm(term);
	}

	void run(ReplicaEvent event) {
		this.core.handle(reading(), event);
		for (ReplicaEffect effect : this.core.flush()) {
			switch (effect) {
				case ReplicaEffect.Send send -> this.sent.add(send.message());
				case ReplicaEffect.Notify notify -> this.notices.add(notify.notice());
				case ReplicaEffect.Persist persist -> run(new ReplicaEvent.Synced(persist.ticket()));
				case ReplicaEffect.Roll roll -> run(new ReplicaEvent.Synced(roll.ticket()));
				case ReplicaEffect.ReadChunk read -> this.snapshotWork.add(read);
				case ReplicaEffect.WriteChunk write -> this.snapshotWork.add(write);
				default -> {
				}
			}
		}
	}

	void receive(ReplicaMessage.Builder message) {
		run(new ReplicaEvent.Received(message.build()));
	}

	void grantVote(String from, boolean preVote, long requestedTerm) {
		receive(from(from, this.core.term())
			.setVoteReply(VoteReply.newBuilder().setPreVote(preVote).setGranted(true).setAskedTerm(requestedTerm)));
	}

	void becomeLeader() {
		becomeLeader("b");
	}

	void becomeLeader(String... granting) {
		this.now += 2 * SECOND;
		run(new ReplicaEvent.Tick());
		long term = this.core.term() + 1;
		for (String voter : granting) {
			grantVote(voter, true, term);
		}
		for (String voter : granting) {
			grantVote(voter, false, term);
		}
		assertThat(this.core.role()).isEqualTo(ReplicaRole.LEADER);
		this.sent.clear();
	}

	void acknowledge(String from, long index) {
		receive(from(from, this.core.term())
			.setAppendReply(AppendReply.newBuilder().setAccepted(true).setIndex(index).setSentNanos(this.now)));
	}

	void announce(String name) {
		announce(member(name));
	}

	void announce(ReplicaMember member) {
		receive(ReplicaMessage.newBuilder()
			.setFrom(member.getInstance() + "/" + member.getIncarnation())
			.setTo("a")
			.setAnnouncement(Announcement.newBuilder().setMember(member)));
	}

	void passSecondWithAnswersOf(String... followers) {
		for (int tick = 0; tick < 10; tick++) {
			this.now += SECOND / 10;
			acknowledgeAll(followers);
			run(new ReplicaEvent.Tick());
		}
	}

	void acknowledgeAll(String... followers) {
		for (String follower : followers) {
			acknowledge(follower, this.core.lastIndex());
		}
	}

}
