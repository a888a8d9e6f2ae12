package io.verbenatrack.control.replica;

import java.time.Duration;
import java.util.List;

import com.google.protobuf.ByteString;
import org.testng.annotations.Test;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.protocol.control.Announcement;
import io.verbenatrack.protocol.control.AppendReply;
import io.verbenatrack.protocol.control.AppendRequest;
import io.verbenatrack.protocol.control.HardState;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;
import io.verbenatrack.protocol.control.SnapshotHeader;
import io.verbenatrack.protocol.control.VoteRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReplicaCore}: individual rules that randomized schedules rarely reach.
 */
public class ReplicaCoreTests extends ReplicaCoreFixture {

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

	// Guards against a second cluster with a replica that has joined the first one and
	// announces itself since its leader is away.
	@Test
	public void announcementOfMemberOfAnotherClusterPreventsFormation() {
		start(new MembershipPolicy(3, true, Duration.ofSeconds(8)), RecoveredLog.EMPTY);
		receive(from("b", 9).setTo("a")
			.setAnnouncement(Announcement.newBuilder().setMember(member("b")).addHeard("a/1")));
		receive(ReplicaMessage.newBuilder()
			.setFrom("c/1")
			.setTo("a")
			.setAnnouncement(Announcement.newBuilder().setMember(member("c")).addHeard("a/1")));
		assertThat(this.core.membership().getVotersCount()).isZero();
	}

	// Guards against a second cluster with replicas that have joined the first one since
	// they announced themselves.
	@Test
	public void earlierAnnouncementsDoNotCountForFormation() {
		startFirstInitialMember(false);
		this.now += 6 * SECOND;
		run(new ReplicaEvent.Tick());
		assertThat(this.core.membership().getVotersCount()).isZero();
	}

}
