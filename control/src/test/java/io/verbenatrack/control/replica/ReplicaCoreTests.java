package io.verbenatrack.control.replica;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.google.protobuf.ByteString;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.model.ClockReading;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.HeldTime;
import io.verbenatrack.protocol.control.Announcement;
import io.verbenatrack.protocol.control.AppendReply;
import io.verbenatrack.protocol.control.AppendRequest;
import io.verbenatrack.protocol.control.HardState;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;
import io.verbenatrack.protocol.control.VoteReply;
import io.verbenatrack.protocol.control.VoteRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReplicaCore}: individual rules that randomized schedules rarely reach.
 */
public class ReplicaCoreTests {

	private static final String CLUSTER = "test-1";

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final Membership THREE_VOTERS = Membership.newBuilder()
		.addVoters(member("a"))
		.addVoters(member("b"))
		.addVoters(member("c"))
		.build();

	private final List<ReplicaMessage> sent = new ArrayList<>();

	private final List<ReplicaNotice> notices = new ArrayList<>();

	private ReplicaCore core;

	private long now;

	private long suspendedNanos;

	@BeforeMethod
	void startReplicaInTermThree() {
		this.now = SECOND;
		this.suspendedNanos = 0;
		this.sent.clear();
		this.notices.clear();
		List<LogEntry> entries = List.of(entry(1, 1).setMembership(THREE_VOTERS).build(), entry(2, 2).build());
		HardState hard = HardState.newBuilder().setCluster(CLUSTER).setTerm(3).build();
		start(MembershipPolicy.DEFAULT, new RecoveredLog(hard, SnapshotHeader.getDefaultInstance(), 0, 0, entries));
	}

	private void start(MembershipPolicy policy, RecoveredLog recovered) {
		this.core = new ReplicaCore(new ReplicaConfiguration("test", member("a"), THREE_VOTERS.getVotersList(),
				ReplicaTimings.DEFAULT, ReplicaLimits.DEFAULT, policy), recovered, new SplittableRandom(1), reading());
		run(new ReplicaEvent.Tick());
	}

	private ClockReading reading() {
		return new ClockReading(new HeldTime(this.now + this.suspendedNanos), new GrantedTime(this.now));
	}

	private static ReplicaMember member(String name) {
		return ReplicaMember.newBuilder().setInstance(name).setIncarnation("1").build();
	}

	private static LogEntry.Builder entry(long index, long term) {
		return LogEntry.newBuilder().setIndex(index).setTerm(term);
	}

	private static ReplicaMessage.Builder from(String name, long term) {
		return ReplicaMessage.newBuilder().setCluster(CLUSTER).setFrom(name + "/1").setTo("a/1").setTerm(term);
	}

	private void run(ReplicaEvent event) {
		this.core.handle(reading(), event);
		for (ReplicaEffect effect : this.core.flush()) {
			switch (effect) {
				case ReplicaEffect.Send send -> this.sent.add(send.message());
				case ReplicaEffect.Notify notify -> this.notices.add(notify.notice());
				case ReplicaEffect.Persist persist -> run(new ReplicaEvent.Synced(persist.ticket()));
				default -> {
				}
			}
		}
	}

	private void receive(ReplicaMessage.Builder message) {
		run(new ReplicaEvent.Received(message.build()));
	}

	private void grantVote(String from, boolean preVote, long requestedTerm) {
		receive(from(from, this.core.term())
			.setVoteReply(VoteReply.newBuilder().setPreVote(preVote).setGranted(true).setAskedTerm(requestedTerm)));
	}

	private void becomeLeader() {
		this.now += 2 * SECOND;
		run(new ReplicaEvent.Tick());
		grantVote("b", true, this.core.term() + 1);
		grantVote("b", false, this.core.term());
		assertThat(this.core.role()).isEqualTo(ReplicaRole.LEADER);
		this.sent.clear();
	}

	private void acknowledge(String from, long index) {
		receive(from(from, this.core.term())
			.setAppendReply(AppendReply.newBuilder().setAccepted(true).setIndex(index).setSentNanos(this.now)));
	}

	private ReplicaMessage.Builder voteRequest(String from, long term) {
		return from(from, term)
			.setVoteRequest(VoteRequest.newBuilder().setLastIndex(9).setLastTerm(9).setAskedTerm(term));
	}

	@Test
	public void voterIgnoresVoteRequestWithinElectionTimeoutOfLeaderContact() {
		this.now += 2 * SECOND;
		receive(from("b", 9).setAppendRequest(AppendRequest.newBuilder().setPreviousIndex(2).setPreviousTerm(2)));
		this.sent.clear();
		this.now += Duration.ofMillis(499).toNanos();
		receive(voteRequest("c", 10));
		assertThat(this.core.term()).isEqualTo(9);
		assertThat(this.sent).noneMatch(ReplicaMessage::hasVoteReply);
	}

	@Test
	public void voterGrantsVoteAfterElectionTimeoutWithoutLeader() {
		this.now += 2 * SECOND;
		receive(voteRequest("c", 10));
		assertThat(this.sent).anyMatch((message) -> message.getVoteReply().getGranted());
	}

	@Test
	public void restartedVoterIgnoresVoteRequestWithinElectionTimeout() {
		receive(voteRequest("c", 10));
		assertThat(this.sent).noneMatch(ReplicaMessage::hasVoteReply);
	}

	@Test
	public void voterRefusesCandidateWithOlderLog() {
		this.now += 2 * SECOND;
		receive(from("c", 10).setVoteRequest(VoteRequest.newBuilder().setLastIndex(9).setLastTerm(1).setAskedTerm(10)));
		assertThat(this.sent).anyMatch(ReplicaMessage::hasVoteReply);
		assertThat(this.sent).noneMatch((message) -> message.getVoteReply().getGranted());
	}

	@Test
	public void leaderDoesNotCommitEntryOfEarlierTermByCountingReplicas() {
		becomeLeader();
		acknowledge("b", 2);
		assertThat(this.core.commitIndex()).isZero();
		acknowledge("b", 3);
		assertThat(this.core.commitIndex()).isEqualTo(3);
	}

	@Test
	public void leaderIsNotActiveBeforeCommittingInItsTerm() {
		becomeLeader();
		acknowledge("b", 2);
		assertThat(this.core.leads()).isFalse();
		acknowledge("b", 3);
		assertThat(this.core.leads()).isTrue();
	}

	@Test
	public void leaderIsNotActiveAfterLeaseExpires() {
		becomeLeader();
		acknowledge("b", 3);
		this.now += ReplicaTimings.DEFAULT.lease().toNanos();
		run(new ReplicaEvent.Tick());
		assertThat(this.core.leads()).isFalse();
	}

	@Test
	public void duplicateRefusalStartsOneProbe() {
		becomeLeader();
		ReplicaMessage.Builder refusal = from("c", this.core.term())
			.setAppendReply(AppendReply.newBuilder().setAccepted(false).setRefusedIndex(2).setSentNanos(this.now));
		receive(refusal);
		receive(refusal);
		receive(refusal);
		assertThat(this.sent).filteredOn((message) -> message.getTo().equals("c/1")).hasSize(1);
	}

	@Test
	public void messageToEarlierIncarnationIsDropped() {
		this.now += 2 * SECOND;
		receive(voteRequest("c", 10).setTo("a/0"));
		assertThat(this.core.term()).isEqualTo(3);
		assertThat(this.sent).noneMatch(ReplicaMessage::hasVoteReply);
	}

	@Test
	public void messageFromAnotherClusterIsDropped() {
		this.now += 2 * SECOND;
		receive(voteRequest("c", 10).setCluster("test-2"));
		assertThat(this.core.term()).isEqualTo(3);
	}

	@Test
	public void proposalIsUnknownWhenLeadershipIsLostBeforeCommit() {
		becomeLeader();
		run(new ReplicaEvent.Proposed(7, ByteString.copyFromUtf8("x")));
		this.core.handle(reading(),
				new ReplicaEvent.Received(from("b", 20)
					.setAppendRequest(AppendRequest.newBuilder().setPreviousIndex(2).setPreviousTerm(2))
					.build()));
		assertThat(this.core.flush()).contains(new ReplicaEffect.Unknown(7));
	}

	private void announce(String name) {
		receive(ReplicaMessage.newBuilder()
			.setFrom(name + "/1")
			.setTo("a")
			.setAnnouncement(Announcement.newBuilder().setMember(member(name))));
	}

	private void becomeLeaderWithLearner() {
		becomeLeader();
		acknowledge("b", 3);
		acknowledge("c", 3);
		announce("d");
		acknowledge("b", 4);
		acknowledge("c", 4);
		acknowledge("d", 4);
	}

	@Test
	public void learnerIsNotPromotedAtTargetNumberOfVoters() {
		becomeLeaderWithLearner();
		assertThat(this.core.membership().getLearnersList()).containsExactly(member("d"));
		assertThat(this.core.membership().getVotersList()).containsExactlyElementsOf(THREE_VOTERS.getVotersList());
	}

	@Test
	public void learnerReplacesUnresponsiveVoter() {
		becomeLeaderWithLearner();
		for (int second = 0; second < 10; second++) {
			this.now += SECOND / 4;
			for (int part = 0; part < 4; part++) {
				this.now += SECOND / 4;
				acknowledge("b", this.core.lastIndex());
				acknowledge("d", this.core.lastIndex());
			}
		}
		assertThat(this.core.membership().getVotersList()).extracting(ReplicaMember::getInstance)
			.containsExactly("a", "b", "d");
		assertThat(this.core.membership().getLearnersList()).isEmpty();
	}

	private void passSecondWithAnswersOf(String... followers) {
		for (int tick = 0; tick < 10; tick++) {
			this.now += SECOND / 10;
			acknowledgeAll(followers);
			run(new ReplicaEvent.Tick());
		}
	}

	// Guards against a link that is full of entries for a replica which does not answer:
	// its new incarnation at the same address got nothing and did not vote again.
	@Test
	public void entriesAreNotSentAgainToVoterThatDoesNotAnswer() {
		becomeLeader();
		acknowledge("b", 3);
		run(new ReplicaEvent.Proposed(7, ByteString.copyFrom(new byte[50_000])));
		this.sent.clear();
		passSecondWithAnswersOf("b");
		assertThat(this.sent).filteredOn((message) -> message.getTo().equals("c/1")).hasSizeGreaterThan(5);
		assertThat(this.sent)
			.filteredOn((message) -> message.getTo().equals("c/1") && message.getAppendRequest().getEntriesCount() > 0)
			.hasSizeLessThan(2);
	}

	// Guards against the same full link when the replica answered this leader before.
	@Test
	public void earlierIncarnationOfLearnerGetsHeartbeatsOnly() {
		becomeLeader();
		acknowledge("b", 3);
		acknowledge("c", 3);
		passSecondWithAnswersOf("b");
		ReplicaMember replacement = member("c").toBuilder().setIncarnation("2").build();
		receive(ReplicaMessage.newBuilder()
			.setFrom("c/2")
			.setTo("a")
			.setAnnouncement(Announcement.newBuilder().setMember(replacement)));
		assertThat(this.core.membership().getLearnersList()).containsExactly(replacement);
		this.sent.clear();
		run(new ReplicaEvent.Proposed(7, ByteString.copyFrom(new byte[50_000])));
		passSecondWithAnswersOf("b");
		assertThat(this.sent).filteredOn((message) -> message.getTo().equals("c/2")).hasSizeGreaterThan(5);
		assertThat(this.sent).filteredOn((message) -> message.getTo().equals("c/1"))
			.hasSizeGreaterThan(5)
			.allMatch((message) -> message.getAppendRequest().getEntriesCount() == 0);
	}

	// Guards against a replica that stays behind after it did not answer for a while.
	@Test
	public void replicaThatAnswersAgainGetsTheEntries() {
		becomeLeader();
		acknowledge("b", 3);
		acknowledge("c", 3);
		passSecondWithAnswersOf("b");
		run(new ReplicaEvent.Proposed(7, ByteString.copyFrom(new byte[50_000])));
		passSecondWithAnswersOf("b");
		this.sent.clear();
		acknowledge("c", 3);
		assertThat(this.sent)
			.anyMatch((message) -> message.getTo().equals("c/1") && message.getAppendRequest().getEntriesCount() > 0);
	}

	// Guards against a replica that joined a cluster whose next leader does not know it,
	// and
	// whose empty log names nobody to ask.
	@Test
	public void joinedReplicaWithEmptyLogAnnouncesItself() {
		HardState hard = HardState.newBuilder().setCluster(CLUSTER).setTerm(3).build();
		start(MembershipPolicy.DEFAULT, new RecoveredLog(hard, SnapshotHeader.getDefaultInstance(), 0, 0, List.of()));
		this.sent.clear();
		this.now += 4 * SECOND;
		run(new ReplicaEvent.Tick());
		assertThat(this.sent).filteredOn(ReplicaMessage::hasAnnouncement)
			.extracting(ReplicaMessage::getTo)
			.containsExactly("b", "c");
	}

	// Guards against a replica with an empty disk whose settings name no instance of the
	// cluster, though the leader keeps contacting its earlier incarnation.
	@Test
	public void replicaAnnouncesItselfToSenderOfMisaddressedMessage() {
		start(new MembershipPolicy(3, false, Duration.ofSeconds(8)), RecoveredLog.EMPTY);
		receive(from("x", 9).setTo("a/0")
			.setFromAddress("x-host:1")
			.setAppendRequest(AppendRequest.getDefaultInstance()));
		this.sent.clear();
		this.now += SECOND;
		run(new ReplicaEvent.Tick());
		assertThat(this.sent).filteredOn(ReplicaMessage::hasAnnouncement)
			.extracting(ReplicaMessage::getTo)
			.containsExactly("b", "c", "x");
	}

	// Guards against a cluster that is one loss from stopping without a log line.
	@Test
	public void learnerThatDoesNotCatchUpIsReported() {
		becomeLeader();
		acknowledge("b", 3);
		announce("d");
		acknowledge("b", 4);
		for (int second = 0; second < 17; second++) {
			passSecondWithAnswersOf("b");
		}
		assertThat(this.notices).filteredOn(ReplicaNotice.LEARNER_BEHIND::equals).hasSize(2);
	}

	// Guards against a dead voter that is kept as long as its leaders change.
	@Test
	public void voterThatNeverAnsweredIsReplacedSoon() {
		Membership withLearner = THREE_VOTERS.toBuilder().addLearners(member("d")).build();
		List<LogEntry> entries = List.of(entry(1, 1).setMembership(withLearner).build(), entry(2, 2).build());
		HardState hard = HardState.newBuilder().setCluster(CLUSTER).setTerm(3).build();
		start(MembershipPolicy.DEFAULT, new RecoveredLog(hard, SnapshotHeader.getDefaultInstance(), 0, 0, entries));
		becomeLeader();
		acknowledge("b", 3);
		acknowledge("d", 3);
		passSecondWithAnswersOf("b", "d");
		passSecondWithAnswersOf("b", "d");
		assertThat(this.core.membership().getVotersList()).extracting(ReplicaMember::getInstance)
			.containsExactly("a", "b", "d");
	}

	// Guards against a new leader that removes a voter which has had no time to answer.
	@Test
	public void voterIsNotSilentWhenLeadershipBegins() {
		Membership withLearner = THREE_VOTERS.toBuilder().addLearners(member("d")).build();
		List<LogEntry> entries = List.of(entry(1, 1).setMembership(withLearner).build(), entry(2, 2).build());
		HardState hard = HardState.newBuilder().setCluster(CLUSTER).setTerm(3).build();
		this.now = 100 * SECOND;
		start(MembershipPolicy.DEFAULT, new RecoveredLog(hard, SnapshotHeader.getDefaultInstance(), 0, 0, entries));
		becomeLeader();
		acknowledge("b", 3);
		acknowledge("d", 3);
		passSecondWithAnswersOf("b", "d");
		assertThat(this.core.membership()).isEqualTo(withLearner);
	}

	@Test
	public void followerForwardsAnnouncementToLeaderOnce() {
		receive(from("b", 9).setAppendRequest(AppendRequest.newBuilder().setPreviousIndex(2).setPreviousTerm(2)));
		this.sent.clear();
		announce("d");
		assertThat(this.sent).hasSize(1).allMatch((message) -> message.getTo().equals("b/1"));
		this.sent.clear();
		receive(ReplicaMessage.newBuilder()
			.setFrom("d/1")
			.setTo("a/1")
			.setAnnouncement(Announcement.newBuilder().setMember(member("d"))));
		assertThat(this.sent).isEmpty();
	}

	private void becomeLeaderWithTargetOfFiveVoters() {
		List<LogEntry> entries = List.of(entry(1, 1).setMembership(THREE_VOTERS).build(), entry(2, 2).build());
		HardState hard = HardState.newBuilder().setCluster(CLUSTER).setTerm(3).build();
		start(new MembershipPolicy(5, true, Duration.ofSeconds(8)),
				new RecoveredLog(hard, SnapshotHeader.getDefaultInstance(), 0, 0, entries));
		becomeLeaderWithLearner();
	}

	private void acknowledgeAll(String... followers) {
		for (String follower : followers) {
			acknowledge(follower, this.core.lastIndex());
		}
	}

	@Test
	public void learnersArePromotedUpToTargetNumberOfVoters() {
		becomeLeaderWithTargetOfFiveVoters();
		acknowledgeAll("b", "c", "d");
		announce("e");
		acknowledgeAll("b", "c", "d", "e");
		acknowledgeAll("b", "c", "d", "e");
		announce("f");
		acknowledgeAll("b", "c", "d", "e", "f");
		acknowledgeAll("b", "c", "d", "e", "f");
		assertThat(this.core.membership().getVotersList()).extracting(ReplicaMember::getInstance)
			.containsExactly("a", "b", "c", "d", "e");
		assertThat(this.core.membership().getLearnersList()).containsExactly(member("f"));
	}

	@Test
	public void replacedVoterRejoinsAsLearner() {
		becomeLeaderWithLearner();
		for (int quarter = 0; quarter < 40; quarter++) {
			this.now += SECOND / 4;
			acknowledgeAll("b", "d");
		}
		announce("c");
		assertThat(this.core.membership().getLearnersList()).containsExactly(member("c"));
	}

	@Test
	public void replicaWithoutLeaderContactAnnouncesItself() {
		this.sent.clear();
		for (int second = 0; second < 2; second++) {
			this.now += SECOND;
			run(new ReplicaEvent.Tick());
		}
		assertThat(this.sent).noneMatch(ReplicaMessage::hasAnnouncement);
		this.now += 2 * SECOND;
		run(new ReplicaEvent.Tick());
		assertThat(this.sent).filteredOn(ReplicaMessage::hasAnnouncement)
			.extracting(ReplicaMessage::getTo)
			.containsExactly("b", "c");
	}

	private void startFirstInitialMember(boolean mayFormCluster) {
		start(new MembershipPolicy(3, mayFormCluster, Duration.ofSeconds(8)), RecoveredLog.EMPTY);
		announceInitialMembers();
	}

	private void announceInitialMembers() {
		for (String member : List.of("b", "c")) {
			run(new ReplicaEvent.Received(ReplicaMessage.newBuilder()
				.setFrom(member + "/1")
				.setTo("a")
				.setAnnouncement(Announcement.newBuilder().setMember(member(member)).addHeard("a/1"))
				.build()));
		}
	}

	@Test
	public void initialMembersFormClusterOnFirstStart() {
		startFirstInitialMember(true);
		assertThat(this.core.membership().getVotersCount()).isEqualTo(3);
	}

	@Test
	public void initialMembersWithLostDisksDoNotFormSecondCluster() {
		startFirstInitialMember(false);
		receive(from("d", 9).setTo("a/0").setAppendRequest(AppendRequest.getDefaultInstance()));
		this.now += 6 * SECOND;
		announceInitialMembers();
		assertThat(this.core.membership().getVotersCount()).isZero();
	}

	@Test
	public void initialMembersKilledBeforeFormationFormClusterLater() {
		startFirstInitialMember(false);
		assertThat(this.core.membership().getVotersCount()).isZero();
		this.now += 6 * SECOND;
		announceInitialMembers();
		assertThat(this.core.membership().getVotersCount()).isEqualTo(3);
	}

}
