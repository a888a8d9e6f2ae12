package io.verbenatrack.control.replica;

import java.time.Duration;
import java.util.List;

import org.testng.annotations.Test;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link MembershipRepair}.
 */
public class MembershipRepairTests extends ReplicaCoreFixture {

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

	// Guards against a log without a leader for good: a voter that was only cut off was
	// removed just after another one was lost, which the removal needed.
	@Test
	public void learnerBecomesVoterBeforeSilentVoterLeaves() {
		becomeLeaderWithLearner();
		Membership before = this.core.membership();
		for (int tick = 0; tick < 100 && this.core.membership().equals(before); tick++) {
			this.now += SECOND / 10;
			acknowledgeAll("b", "d");
		}
		assertThat(this.core.membership().getVotersList()).extracting(ReplicaMember::getInstance)
			.containsExactly("a", "b", "c", "d");
		this.now += SECOND / 10;
		acknowledgeAll("c", "d");
		assertThat(this.core.commitIndex()).isEqualTo(this.core.lastIndex());
	}

	// Guards against a learner that stays a voter beside the one whose place it took.
	@Test
	public void surplusSilentVoterLeavesWithoutALearner() {
		Membership fourVoters = THREE_VOTERS.toBuilder().addVoters(member("d")).build();
		startWithMembership(MembershipPolicy.DEFAULT, fourVoters);
		becomeLeader("b", "d");
		for (int second = 0; second < 9; second++) {
			passSecondWithAnswersOf("b", "d");
		}
		assertThat(this.core.membership().getVotersList()).extracting(ReplicaMember::getInstance)
			.containsExactly("a", "b", "d");
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
		startWithMembership(MembershipPolicy.DEFAULT, withLearner);
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
		this.now = 100 * SECOND;
		startWithMembership(MembershipPolicy.DEFAULT, withLearner);
		becomeLeader();
		acknowledge("b", 3);
		acknowledge("d", 3);
		passSecondWithAnswersOf("b", "d");
		assertThat(this.core.membership()).isEqualTo(withLearner);
	}

	private void becomeLeaderWithTargetOfFiveVoters() {
		startWithMembership(new MembershipPolicy(5, true, Duration.ofSeconds(8)), THREE_VOTERS);
		becomeLeaderWithLearner();
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

	// Guards against dead learners that fill the membership for good.
	@Test
	public void learnerThatStoppedAnsweringIsRemoved() {
		becomeLeaderWithLearner();
		for (int second = 0; second < 26; second++) {
			passSecondWithAnswersOf("b", "c");
		}
		assertThat(this.core.membership()).isEqualTo(THREE_VOTERS);
		assertThat(this.notices).contains(ReplicaNotice.REMOVED);
	}

	// Guards against a leader that removes a learner which it added late and which has
	// had
	// no time to answer, or one that was cut off for a while.
	@Test
	public void learnerIsKeptWhileItMayStillAnswer() {
		becomeLeader();
		acknowledgeAll("b", "c");
		for (int second = 0; second < 100; second++) {
			passSecondWithAnswersOf("b", "c");
		}
		announce("d");
		for (int second = 0; second < 10; second++) {
			passSecondWithAnswersOf("b", "c");
		}
		assertThat(this.core.membership().getLearnersList()).containsExactly(member("d"));
		passSecondWithAnswersOf("b", "c", "d");
		for (int second = 0; second < 10; second++) {
			passSecondWithAnswersOf("b", "c");
		}
		assertThat(this.core.membership().getLearnersList()).containsExactly(member("d"));
	}

	private void announceAndAcknowledge(String added, String... followers) {
		announce(added);
		acknowledgeAll(followers);
		acknowledgeAll(followers);
	}

	private void becomeLeaderOfSevenReplicas() {
		becomeLeader();
		acknowledgeAll("b", "c");
		announceAndAcknowledge("d", "b", "c", "d");
		announceAndAcknowledge("e", "b", "c", "d", "e");
		announceAndAcknowledge("f", "b", "c", "d", "e", "f");
		announceAndAcknowledge("g", "b", "c", "d", "e", "f", "g");
		assertThat(this.core.membership().getLearnersCount()).isEqualTo(4);
	}

	// Guards against a voter that lost its disk and cannot rejoin, because its earlier
	// incarnation takes a place of its own.
	@Test
	public void voterWithLostDiskRejoinsAtMaximumNumberOfReplicas() {
		becomeLeaderOfSevenReplicas();
		ReplicaMember replacement = member("c").toBuilder().setIncarnation("2").build();
		announce(replacement);
		assertThat(this.core.membership().getLearnersList()).contains(replacement);
	}

	// Guards against a replacement that is turned away in favor of replicas that are
	// gone.
	@Test
	public void replicasThatDoNotAnswerTakeNoPlace() {
		becomeLeaderOfSevenReplicas();
		for (int second = 0; second < 9; second++) {
			passSecondWithAnswersOf("b", "c", "d", "e", "f");
		}
		announce("h");
		assertThat(this.core.membership().getLearnersList()).contains(member("h"));
	}

	// Guards against a cluster of voters only that cannot replace one which is gone.
	@Test
	public void silentVoterIsReplacedAtMaximumNumberOfReplicas() {
		Membership sevenVoters = THREE_VOTERS.toBuilder()
			.addVoters(member("d"))
			.addVoters(member("e"))
			.addVoters(member("f"))
			.addVoters(member("g"))
			.build();
		startWithMembership(new MembershipPolicy(7, true, Duration.ofSeconds(8)), sevenVoters);
		becomeLeader("b", "c", "d");
		for (int second = 0; second < 9; second++) {
			passSecondWithAnswersOf("b", "c", "d", "e", "f");
		}
		announce("h");
		for (int second = 0; second < 9; second++) {
			passSecondWithAnswersOf("b", "c", "d", "e", "f", "h");
		}
		assertThat(this.core.membership().getVotersList()).extracting(ReplicaMember::getInstance)
			.containsExactly("a", "b", "c", "d", "e", "f", "h");
	}

	// Guards against a replica that is turned away without a log line.
	@Test
	public void replicaBeyondMaximumNumberIsTurnedAwayAndReported() {
		becomeLeaderOfSevenReplicas();
		announce("h");
		announce("h");
		assertThat(this.core.membership().getLearnersList()).doesNotContain(member("h"));
		assertThat(this.notices).filteredOn(ReplicaNotice.TURNED_AWAY::equals).hasSize(1);
	}

	// Guards against the loss of the quorum after an added machine was replaced often.
	@Test
	public void votersWithLostDisksRejoinAfterManyReplacements() {
		becomeLeader();
		acknowledgeAll("b", "c");
		for (String replacement : List.of("d", "e", "f", "g", "h")) {
			announceAndAcknowledge(replacement, "b", "c", replacement);
			for (int second = 0; second < 9; second++) {
				passSecondWithAnswersOf("b", "c");
			}
		}
		loseDiskAndRejoin("b", "c");
		loseDiskAndRejoin("c", "b");
		assertThat(this.core.membership().getVotersList()).extracting(ReplicaMember::getIncarnation)
			.containsExactly("1", "2", "2");
	}

	private void loseDiskAndRejoin(String instance, String other) {
		ReplicaMember replacement = member(instance).toBuilder().setIncarnation("2").build();
		announce(replacement);
		boolean otherReplaced = this.core.membership()
			.getVotersList()
			.contains(member(other).toBuilder().setIncarnation("2").build());
		for (int tick = 0; tick < 10; tick++) {
			this.now += SECOND / 10;
			acknowledge(otherReplaced ? other + "/2" : other, this.core.lastIndex());
			acknowledge(instance + "/2", this.core.lastIndex());
		}
	}

}
