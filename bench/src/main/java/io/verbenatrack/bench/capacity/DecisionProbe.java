package io.verbenatrack.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.scheduling.MemberReport;
import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.policy.GuaranteeScheduler;
import io.verbenatrack.server.log.DecisionBatch;
import io.verbenatrack.state.RecordCodec;

/**
 * Measures the CPU time of scheduling decisions and their bytes in the log and in
 * snapshots.
 */
final class DecisionProbe {

	private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

	private static final double NANOS_PER_MICRO = 1_000;

	private static final String SIZE_UNIT = "workers, with 2.12 jobs each";

	private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

	private final RecordCodec codec = RecordCodec.cbor();

	private final MeasurementCollector collector;

	private Scheduler scheduler;

	private long entryBytes;

	private long entries;

	DecisionProbe(MeasurementCollector collector) {
		this.collector = collector;
	}

	void run(int workers) {
		this.scheduler = new GuaranteeScheduler();
		this.entryBytes = 0;
		this.entries = 0;
		decide(new SchedulingEvent.DeclarationsInForce(SampleFleet.declarations()));
		measureCpuTime(workers, "decision on a first announcement", workers,
				(number) -> decide(new SchedulingEvent.WorkerAnnounced(SampleFleet.worker(number))));
		record(workers, "snapshot of workers", "bytes for each worker", snapshotBytes() / (double) workers);
		measureCpuTime(workers, "decision on a renewed announcement", workers,
				(number) -> decide(new SchedulingEvent.WorkerAnnounced(SampleFleet.worker(number))));
		int jobs = SampleFleet.jobs(workers);
		long snapshotBytesBefore = snapshotBytes();
		this.entryBytes = 0;
		List<SchedulingDecision> decisions = new ArrayList<>();
		measureCpuTime(workers, "decision on a job", jobs,
				(number) -> decisions.addAll(decide(new SchedulingEvent.JobSubmitted(SampleFleet.job(number)))));
		record(workers, "log of a submitted and placed job", "bytes for each job", this.entryBytes / (double) jobs);
		reportMembers(workers, decisions);
		record(workers, "snapshot of jobs", "bytes for each job",
				(snapshotBytes() - snapshotBytesBefore) / (double) jobs);
		record(workers, "whole snapshot of workers and jobs", "bytes", snapshotBytes());
		this.entryBytes = 0;
		measureCpuTime(workers, "decision on a usage report", jobs,
				(number) -> decide(new SchedulingEvent.UsageReported(SampleFleet.job(number).id(),
						Duration.ofMinutes(1), Duration.ZERO, 1)));
		record(workers, "log of a usage report", "bytes for each report", this.entryBytes / (double) jobs);
		measureCpuTime(workers, "decision on the passing of time", 50,
				(number) -> decide(new SchedulingEvent.TimePassed()));
	}

	private void reportMembers(int workers, List<SchedulingDecision> decisions) {
		List<SchedulingEvent.MemberReported> reports = new ArrayList<>();
		for (SchedulingDecision decision : decisions) {
			if (decision instanceof SchedulingDecision.PlaceGang place) {
				place.placement()
					.slots()
					.forEach((slot) -> reports.add(new SchedulingEvent.MemberReported(place.job(), place.token(),
							slot.worker(), MemberReport.PREPARED)));
			}
		}
		if (reports.isEmpty()) {
			throw new IllegalStateException("No job was placed on " + workers + " workers. Check SampleFleet.");
		}
		this.entryBytes = 0;
		measureCpuTime(workers, "decision on a member's report", reports.size(),
				(number) -> decide(reports.get(number)));
		record(workers, "log of a member's report", "bytes for each report", this.entryBytes / (double) reports.size());
	}

	private List<SchedulingDecision> decide(SchedulingEvent event) {
		List<SchedulingDecision> decisions = this.scheduler.decide(event, START);
		if (!decisions.isEmpty()) {
			this.entries++;
			this.entryBytes += this.codec.encode(new DecisionBatch(this.entries, decisions)).length;
		}
		return decisions;
	}

	private long snapshotBytes() {
		return this.codec.encode(new DecisionBatch(this.entries, this.scheduler.replay())).length;
	}

	private void measureCpuTime(int workers, String name, int events, NumberedEvent event) {
		long startNanos = this.threads.getCurrentThreadCpuTime();
		for (int number = 0; number < events; number++) {
			event.submit(number);
		}
		double micros = (this.threads.getCurrentThreadCpuTime() - startNanos) / NANOS_PER_MICRO / events;
		record(workers, name + ", with its encoding", "µs of processor time for each event", micros);
	}

	private void record(int workers, String name, String unit, double value) {
		this.collector.add(name, unit, SIZE_UNIT, workers, value);
	}

	/** Submits one numbered event to the scheduler. */
	private interface NumberedEvent {

		void submit(int number);

	}

}
