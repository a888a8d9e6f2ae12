package io.verbenatrack.control.replica;

import java.time.Duration;
import java.util.List;

import org.testng.annotations.Test;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.protocol.control.HardState;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.SnapshotHeader;

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

	private void becomeLeaderWithTargetOfFiveVoters() {
		List<LogEntry> entries = List.of(entry(1, 1).setMembership(THREE_VOTERS).build(), entry(2, 2).build());
		HardState hard = HardState.newBuilder().setCluster(CLUSTER).setTerm(3).build();
		start(new MembershipPolicy(5, true, Duration.ofSeconds(8)),
				new RecoveredLog(hard, SnapshotHeader.getDefaultInstance(), 0, 0, entries));
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

}
