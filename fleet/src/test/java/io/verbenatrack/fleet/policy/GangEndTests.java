package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.HeartbeatResponse;
import io.verbenatrack.fleet.model.ReportedEnd;
import io.verbenatrack.fleet.model.ReportedRun;
import io.verbenatrack.fleet.model.RunOutcome;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.state.StepState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Goes through the orders in which the reports of a gang of three arrive whose members
 * end as done together, while any of their workers are cut off and the leader changes.
 */
public class GangEndTests extends SchedulerFixture {

	private static final int MEMBERS = 3;

	/** As many workers beside, on which the whole gang could start again. */
	private static final int WORKERS = 2 * MEMBERS;

	private static final long ROUND_MILLIS = 1000;

	private static final int ROUNDS = 10;

	private static final int LONG_CUT_ROUNDS = 7;

	private static final int LEASE_ROUNDS = 6;

	private static final long LEASE_MILLIS = LEASE_ROUNDS * ROUND_MILLIS;

	private static final List<List<Integer>> ORDERS = List.of(List.of(0, 1, 2), List.of(0, 2, 1), List.of(1, 0, 2),
			List.of(1, 2, 0), List.of(2, 0, 1), List.of(2, 1, 0));

	/** Rounds without reports before the members end, of those that are cut off. */
	private static final List<Integer> ROUNDS_CUT_BEFORE = List.of(0, 3);

	private final List<Member> members = new ArrayList<>();

	private final Map<WorkerIncarnation, Long> sequences = new HashMap<>();

	private int memberReports;

	private int changeBefore;

	private boolean acknowledged;

	private String scenario;

	@Test
	public void gangThatEndedAsDoneNeverStartsAgain() {
		int scenarios = 0;
		for (int roundsCutBefore : ROUNDS_CUT_BEFORE) {
			for (List<Fate> fates : combinations()) {
				for (List<Integer> order : ORDERS) {
					scenarios += playEachChangeOfLeader(fates, order, roundsCutBefore);
				}
			}
		}
		assertThat(scenarios).isGreaterThan(10_000);
	}

	// The members differ by their names only, and each order is played.
	private static List<List<Fate>> combinations() {
		List<List<Fate>> combinations = new ArrayList<>();
		for (Fate first : Fate.values()) {
			for (Fate second : Fate.values()) {
				for (Fate third : Fate.values()) {
					if (first.compareTo(second) <= 0 && second.compareTo(third) <= 0) {
						combinations.add(List.of(first, second, third));
					}
				}
			}
		}
		return combinations;
	}

	private int playEachChangeOfLeader(List<Fate> fates, List<Integer> order, int roundsCutBefore) {
		int change = -1;
		do {
			this.scenario = fates + " in order " + order + ", cut " + roundsCutBefore
					+ " rounds before, change of leader before report " + change;
			this.changeBefore = change;
			play(fates, order, roundsCutBefore);
			change++;
		}
		while (change <= this.memberReports);
		return change + 1;
	}

	private void play(List<Fate> fates, List<Integer> order, int roundsCutBefore) {
		startFirstTerm();
		startGang(fates);
		for (int round = -roundsCutBefore; round < 0; round++) {
			this.nowMillis += ROUND_MILLIS;
			reportOthers();
			for (Member member : this.members) {
				boolean cut = member.fate.cutRounds > 0;
				if (!cut || member.fate.reportsArrive) {
					report(member.report(true));
				}
				if (!cut) {
					member.leaseEndMillis = this.nowMillis + LEASE_MILLIS;
				}
			}
		}
		this.memberReports = 0;
		this.acknowledged = false;
		for (int round = 0; round < ROUNDS && !settled(); round++) {
			this.nowMillis += ROUND_MILLIS;
			for (int index : order) {
				reportEnd(this.members.get(index), round, roundsCutBefore);
			}
			reportOthers();
		}
		verifyDone();
		assertThat(settled()).as(this.scenario).isTrue();
	}

	private void startGang(List<Fate> fates) {
		this.sequences.clear();
		this.members.clear();
		Map<WorkerIncarnation, Integer> started = new HashMap<>();
		for (int worker = 1; worker <= MEMBERS; worker++) {
			report(next(Fixtures.incarnation(worker), List.of(), List.of()));
		}
		accept(1, "batch", Fixtures.plan(Fixtures.step(MEMBERS, 8, true)));
		place();
		for (int worker = 1; worker <= MEMBERS; worker++) {
			WorkerIncarnation incarnation = Fixtures.incarnation(worker);
			report(next(incarnation, List.of(), List.of())).starts()
				.forEach((start) -> started.put(incarnation, start.task().index()));
		}
		assertThat(started).hasSize(MEMBERS);
		started.forEach((incarnation, index) -> {
			Member member = new Member(incarnation, index, fates.get(index));
			this.members.add(member);
			report(member.report(true));
			member.leaseEndMillis = this.nowMillis + LEASE_MILLIS;
		});
		this.members.sort((left, right) -> Integer.compare(left.index, right.index));
	}

	private WorkerReport next(WorkerIncarnation incarnation, List<ReportedRun> running, List<ReportedEnd> ended) {
		long number = this.sequences.merge(incarnation, 1L, Long::sum);
		return Fixtures.report(incarnation, number, false, running, ended);
	}

	private void reportOthers() {
		for (int worker = MEMBERS + 1; worker <= WORKERS; worker++) {
			HeartbeatResponse response = report(next(Fixtures.incarnation(worker), List.of(), List.of()));
			verifyNoStart(response);
		}
	}

	private void verifyNoStart(HeartbeatResponse response) {
		if (this.acknowledged) {
			assertThat(response.starts()).as(this.scenario).isEmpty();
		}
	}

	private void reportEnd(Member member, int round, int roundsCutBefore) {
		int rounds = (member.fate == Fate.CUT_FOR_A_LEASE) ? member.fate.cutRounds - roundsCutBefore
				: member.fate.cutRounds;
		boolean cut = round < rounds;
		if (cut && !member.fate.reportsArrive) {
			return;
		}
		if (this.memberReports++ == this.changeBefore) {
			startNextTerm();
		}
		HeartbeatResponse response = report(member.report(member.fate == Fate.LATE && round == 0));
		if (!cut && response.leaseMillis() > 0) {
			member.receive(response);
		}
	}

	private void verifyDone() {
		if (this.acknowledged) {
			assertThat(this.state.step(task(1, 0)).filter(StepState::done)).as(this.scenario).isPresent();
		}
	}

	private boolean settled() {
		return this.members.stream().allMatch((member) -> member.told);
	}

	/**
	 * What happens to a worker from the end of the gang on.
	 */
	private enum Fate {

		CONNECTED(0, false),

		/** The first report that arrives after the end was sent before it. */
		LATE(0, false),

		/** Returns before its lease ends. */
		SHORTLY_CUT(1, false),

		/** Returns after its lease ended, and before the leader considers it ended. */
		CUT_FOR_A_LEASE(LEASE_ROUNDS - 1, false),

		CUT(LONG_CUT_ROUNDS, false),

		/** Its reports arrive, the responses do not. */
		RESPONSES_SHORTLY_CUT(1, true),

		RESPONSES_CUT(LONG_CUT_ROUNDS, true);

		private final int cutRounds;

		private final boolean reportsArrive;

		Fate(int cutRounds, boolean reportsArrive) {
			this.cutRounds = cutRounds;
			this.reportsArrive = reportsArrive;
		}

	}

	private final class Member {

		private final WorkerIncarnation incarnation;

		private final int index;

		private final Fate fate;

		private long leaseEndMillis;

		/** Whether a response has acknowledged the end. */
		private boolean told;

		private Member(WorkerIncarnation incarnation, int index, Fate fate) {
			this.incarnation = incarnation;
			this.index = index;
			this.fate = fate;
		}

		private WorkerReport report(boolean running) {
			if (running) {
				return next(this.incarnation, List.of(running(1, this.index, 1)), List.of());
			}
			ReportedEnd end = new ReportedEnd(1, task(1, this.index), 1, RunOutcome.DONE, "");
			return next(this.incarnation, List.of(), this.told ? List.of() : List.of(end));
		}

		private void receive(HeartbeatResponse response) {
			GangEndTests test = GangEndTests.this;
			verifyNoStart(response);
			if (!this.told && response.takenNote() > 0) {
				this.told = true;
				test.acknowledged |= test.nowMillis < this.leaseEndMillis;
				verifyDone();
			}
			this.leaseEndMillis = test.nowMillis + LEASE_MILLIS;
		}

	}

}
