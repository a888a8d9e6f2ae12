package io.verbenatrack.scheduling;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;

/**
 * Test driver for a scheduler. Workers have 64 cores, 256 GiB and 8 accelerators, with 8
 * workers per rack.
 */
public final class Scenario {

	private static final int WORKERS_IN_RACK = 8;

	private final Scheduler scheduler;

	private final List<SchedulingDecision> decisions = new ArrayList<>();

	private Instant now = Instant.parse("2026-12-04T00:00:00Z");

	public Scenario(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	public static GangShape shape(int accelerators) {
		return new GangShape(accelerators, 4, 16);
	}

	public static AccountDeclaration account(String id, Guarantee... guarantees) {
		return new AccountDeclaration(new AccountId(id), List.of(guarantees), 1, 0);
	}

	public static WorkerSpec worker(int number) {
		return new WorkerSpec(new WorkerId("w" + number), new ZoneId("rawang"),
				new RackId("rack" + (number / WORKERS_IN_RACK)), number % WORKERS_IN_RACK, 64, 256, 8);
	}

	public static JobSpec job(String id, String account, int accelerators) {
		return new JobSpec(new JobId(id), new AccountId(account), "plan", shape(accelerators), Duration.ofHours(1),
				Urgency.NORMAL, true);
	}

	public Scenario accounts(AccountDeclaration... accounts) {
		return declare(FleetDefaults.STANDARD, accounts);
	}

	public Scenario declare(FleetDefaults defaults, AccountDeclaration... accounts) {
		return event(new SchedulingEvent.DeclarationsInForce(new Declarations(defaults, List.of(accounts), List.of())));
	}

	public Scenario workers(int count) {
		for (int number = 0; number < count; number++) {
			event(new SchedulingEvent.WorkerAnnounced(worker(number)));
		}
		return this;
	}

	public Scenario submit(String id, String account, int accelerators) {
		return event(new SchedulingEvent.JobSubmitted(job(id, account, accelerators)));
	}

	public Scenario submitUrgent(String id, String account, int accelerators) {
		return event(new SchedulingEvent.JobSubmitted(new JobSpec(new JobId(id), new AccountId(account), "plan",
				shape(accelerators), Duration.ofHours(1), Urgency.URGENT, true)));
	}

	public Scenario cancel(String id) {
		return event(new SchedulingEvent.JobCancelled(new JobId(id)));
	}

	public Scenario loseWorker(int worker) {
		return event(new SchedulingEvent.WorkerLost(new WorkerId("w" + worker)));
	}

	public Scenario advanceTime(Duration duration) {
		this.now = this.now.plus(duration);
		return event(new SchedulingEvent.TimePassed());
	}

	/**
	 * Sends the same report from every member of a job that holds accelerators.
	 */
	public Scenario report(String id, MemberReport report) {
		SchedulingView.JobView job = view(id);
		for (Slot slot : job.placement().orElseThrow().slots()) {
			event(new SchedulingEvent.MemberReported(new JobId(id), job.token().orElseThrow(), slot.worker(), report));
		}
		return this;
	}

	public Scenario start(String id) {
		report(id, MemberReport.PREPARED);
		return report(id, MemberReport.STARTED);
	}

	public Scenario event(SchedulingEvent event) {
		this.decisions.addAll(this.scheduler.decide(event, this.now));
		return this;
	}

	public Instant now() {
		return this.now;
	}

	public SchedulingView.JobView view(String id) {
		return this.scheduler.view()
			.jobs()
			.stream()
			.filter((job) -> job.job().id().value().equals(id))
			.findFirst()
			.orElseThrow();
	}

	public String phase(String id) {
		return view(id).phase();
	}

	public Optional<GangPlacement> placement(String id) {
		return view(id).placement();
	}

	public <D extends SchedulingDecision> List<D> decisions(Class<D> type) {
		return this.decisions.stream().filter(type::isInstance).map(type::cast).toList();
	}

	public List<SchedulingDecision> decisions() {
		return List.copyOf(this.decisions);
	}

	public Scenario clearDecisions() {
		this.decisions.clear();
		return this;
	}

}
