package io.verbenatrack.control.replica;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.google.protobuf.ByteString;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.control.MembershipPlan;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaTimings;
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
 * Tests for {@link ReplicaCore}: single rules that random schedules rarely decide.
 */
public class ReplicaCoreTests {

	private static final String CLUSTER = "test-1";

	private static final long SECOND = Duration.ofSeconds(1).toNanos();

	private static final Membership THREE = Membership.newBuilder()
		.addVoters(member("a"))
		.addVoters(member("b"))
		.addVoters(member("c"))
		.build();

	private final List<ReplicaMessage> sent = new ArrayList<>();

	private ReplicaCore core;

	private long now;

	@BeforeMethod
	void startReplicaInTermThree() {
		this.now = SECOND;
		this.sent.clear();
		List<LogEntry> entries = List.of(entry(1, 1).setMembership(THREE).build(), entry(2, 2).build());
		HardState hard = HardState.newBuilder().setCluster(CLUSTER).setTerm(3).build();
		start(MembershipPlan.DEFAULT, new RecoveredLog(hard, SnapshotHeader.getDefaultInstance(), 0, 0, entries));
	}

	private void start(MembershipPlan plan, RecoveredLog recovered) {
		this.core = new ReplicaCore(new ReplicaConfiguration("test", member("a"), THREE.getVotersList(),
				ReplicaTimings.DEFAULT, ReplicaLimits.DEFAULT, plan), recovered, new SplittableRandom(1), this.now);
		run(new ReplicaEvent.Tick());
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
		this.core.handle(this.now, event);
		for (ReplicaEffect effect : this.core.flush()) {
			switch (effect) {
				case ReplicaEffect.Send send -> this.sent.add(send.message());
				case ReplicaEffect.Persist persist -> run(new ReplicaEvent.Synced(persist.ticket()));
				default -> {
				}
			}
		}
	}

	private void receive(ReplicaMessage.Builder message) {
		run(new ReplicaEvent.Received(message.build()));
	}

	private void vote(String from, boolean preVote, long asked) {
		receive(from(from, this.core.term())
			.setVoteReply(VoteReply.newBuilder().setPreVote(preVote).setGranted(true).setAskedTerm(asked)));
	}

	private void lead() {
		this.now += 2 * SECOND;
		run(new ReplicaEvent.Tick());
		vote("b", true, this.core.term() + 1);
		vote("b", false, this.core.term());
		assertThat(this.core.role()).isEqualTo(ReplicaRole.LEADER);
		this.sent.clear();
	}

	private void accept(String from, long index) {
		receive(from(from, this.core.term())
			.setAppendReply(AppendReply.newBuilder().setAccepted(true).setIndex(index).setSentNanos(this.now)));
	}

	private ReplicaMessage.Builder askForVote(String from, long term) {
		return from(from, term)
			.setVoteRequest(VoteRequest.newBuilder().setLastIndex(9).setLastTerm(9).setAskedTerm(term));
	}

	@Test
	public void voterStandsByALeaderHeardWithinTheElectionTimeout() {
		this.now += 2 * SECOND;
		receive(from("b", 9).setAppendRequest(AppendRequest.newBuilder().setPreviousIndex(2).setPreviousTerm(2)));
		this.sent.clear();
		this.now += Duration.ofMillis(499).toNanos();
		receive(askForVote("c", 10));
		assertThat(this.core.term()).isEqualTo(9);
		assertThat(this.sent).noneMatch(ReplicaMessage::hasVoteReply);
	}

	@Test
	public void voterVotesOnceTheLeaderIsSilentForTheElectionTimeout() {
		this.now += 2 * SECOND;
		receive(askForVote("c", 10));
		assertThat(this.sent).anyMatch((message) -> message.getVoteReply().getGranted());
	}

	@Test
	public void restartedVoterWaitsForTheElectionTimeout() {
		receive(askForVote("c", 10));
		assertThat(this.sent).noneMatch(ReplicaMessage::hasVoteReply);
	}

	@Test
	public void voterRefusesACandidateWithAnOlderLog() {
		this.now += 2 * SECOND;
		receive(from("c", 10).setVoteRequest(VoteRequest.newBuilder().setLastIndex(9).setLastTerm(1).setAskedTerm(10)));
		assertThat(this.sent).anyMatch(ReplicaMessage::hasVoteReply);
		assertThat(this.sent).noneMatch((message) -> message.getVoteReply().getGranted());
	}

	@Test
	public void leaderDoesNotCommitAnEarlierTermByCountingReplicas() {
		lead();
		accept("b", 2);
		assertThat(this.core.commitIndex()).isZero();
		accept("b", 3);
		assertThat(this.core.commitIndex()).isEqualTo(3);
	}

	@Test
	public void leaderDoesNotDecideBeforeItKnowsWhatIsCommitted() {
		lead();
		accept("b", 2);
		assertThat(this.core.leads()).isFalse();
		accept("b", 3);
		assertThat(this.core.leads()).isTrue();
	}

	@Test
	public void leaderStopsDecidingWithinItsLeaseWithoutAnswers() {
		lead();
		accept("b", 3);
		this.now += ReplicaTimings.DEFAULT.lease().toNanos();
		run(new ReplicaEvent.Tick());
		assertThat(this.core.leads()).isFalse();
	}

	@Test
	public void refusalThatArrivesTwiceStartsOneProbe() {
		lead();
		ReplicaMessage.Builder refusal = from("c", this.core.term())
			.setAppendReply(AppendReply.newBuilder().setAccepted(false).setRefusedIndex(2).setSentNanos(this.now));
		receive(refusal);
		receive(refusal);
		receive(refusal);
		assertThat(this.sent).filteredOn((message) -> message.getTo().equals("c/1")).hasSize(1);
	}

	@Test
	public void messageToAnEarlierIncarnationIsDropped() {
		this.now += 2 * SECOND;
		receive(askForVote("c", 10).setTo("a/0"));
		assertThat(this.core.term()).isEqualTo(3);
		assertThat(this.sent).noneMatch(ReplicaMessage::hasVoteReply);
	}

	@Test
	public void messageOfAnotherClusterIsDropped() {
		this.now += 2 * SECOND;
		receive(askForVote("c", 10).setCluster("test-2"));
		assertThat(this.core.term()).isEqualTo(3);
	}

	@Test
	public void proposalThatLosesItsLeaderBeforeTheCommitIsUnknown() {
		lead();
		run(new ReplicaEvent.Proposed(7, ByteString.copyFromUtf8("x")));
		this.core.handle(this.now,
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

	private void leadWithNewcomer() {
		lead();
		accept("b", 3);
		accept("c", 3);
		announce("d");
		accept("b", 4);
		accept("c", 4);
		accept("d", 4);
	}

	@Test
	public void newcomerStaysALearnerBesideAnOddNumberOfVoters() {
		leadWithNewcomer();
		assertThat(this.core.membership().getLearnersList()).containsExactly(member("d"));
		assertThat(this.core.membership().getVotersList()).containsExactlyElementsOf(THREE.getVotersList());
	}

	@Test
	public void newcomerReplacesAVoterThatStaysSilent() {
		leadWithNewcomer();
		for (int second = 0; second < 10; second++) {
			this.now += SECOND / 4;
			for (int part = 0; part < 4; part++) {
				this.now += SECOND / 4;
				accept("b", this.core.lastIndex());
				accept("d", this.core.lastIndex());
			}
		}
		assertThat(this.core.membership().getVotersList()).extracting(ReplicaMember::getInstance)
			.containsExactly("a", "b", "d");
		assertThat(this.core.membership().getLearnersList()).isEmpty();
	}

	@Test
	public void followerPassesAnAnnouncementOnToTheLeaderOnce() {
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

	private void leadTowardsFiveVoters() {
		List<LogEntry> entries = List.of(entry(1, 1).setMembership(THREE).build(), entry(2, 2).build());
		HardState hard = HardState.newBuilder().setCluster(CLUSTER).setTerm(3).build();
		start(new MembershipPlan(5, true, Duration.ofSeconds(8)),
				new RecoveredLog(hard, SnapshotHeader.getDefaultInstance(), 0, 0, entries));
		leadWithNewcomer();
	}

	private void acceptAll(String... followers) {
		for (String follower : followers) {
			accept(follower, this.core.lastIndex());
		}
	}

	@Test
	public void newcomersBecomeVotersUntilThereAreAsManyAsWanted() {
		leadTowardsFiveVoters();
		acceptAll("b", "c", "d");
		announce("e");
		acceptAll("b", "c", "d", "e");
		acceptAll("b", "c", "d", "e");
		announce("f");
		acceptAll("b", "c", "d", "e", "f");
		acceptAll("b", "c", "d", "e", "f");
		assertThat(this.core.membership().getVotersList()).extracting(ReplicaMember::getInstance)
			.containsExactly("a", "b", "c", "d", "e");
		assertThat(this.core.membership().getLearnersList()).containsExactly(member("f"));
	}

	@Test
	public void replacedVoterComesBackAsALearner() {
		leadWithNewcomer();
		for (int quarter = 0; quarter < 40; quarter++) {
			this.now += SECOND / 4;
			acceptAll("b", "d");
		}
		announce("c");
		assertThat(this.core.membership().getLearnersList()).containsExactly(member("c"));
	}

	@Test
	public void replicaThatNoLeaderCallsAnnouncesItself() {
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

	private void startFirstFounder(boolean mayForm) {
		start(new MembershipPlan(3, mayForm, Duration.ofSeconds(8)), RecoveredLog.EMPTY);
		announceFounders();
	}

	private void announceFounders() {
		for (String founder : List.of("b", "c")) {
			run(new ReplicaEvent.Received(ReplicaMessage.newBuilder()
				.setFrom(founder + "/1")
				.setTo("a")
				.setAnnouncement(Announcement.newBuilder().setMember(member(founder)).addHeard("a/1"))
				.build()));
		}
	}

	@Test
	public void foundersFormAClusterWhenTheSystemStartsForTheFirstTime() {
		startFirstFounder(true);
		assertThat(this.core.membership().getVotersCount()).isEqualTo(3);
	}

	@Test
	public void foundersThatLostTheirDisksFormNoSecondClusterWhileTheFirstCallsThem() {
		startFirstFounder(false);
		receive(from("d", 9).setTo("a/0").setAppendRequest(AppendRequest.getDefaultInstance()));
		this.now += 6 * SECOND;
		announceFounders();
		assertThat(this.core.membership().getVotersCount()).isZero();
	}

	@Test
	public void foundersThatWereKilledBeforeTheyFormedAClusterFormItLater() {
		startFirstFounder(false);
		assertThat(this.core.membership().getVotersCount()).isZero();
		this.now += 6 * SECOND;
		announceFounders();
		assertThat(this.core.membership().getVotersCount()).isEqualTo(3);
	}

}
