package io.verbenatrack.scheduling.policy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Slot;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.rules.ReclaimCost;
import io.verbenatrack.scheduling.state.AcceleratorMask;
import io.verbenatrack.scheduling.state.DecisionCollector;
import io.verbenatrack.scheduling.state.GangFit;
import io.verbenatrack.scheduling.state.GangLease;
import io.verbenatrack.scheduling.state.JobRecord;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Tracks evictions in progress and the waiting job that each one is for. This state is
 * not replicated. After a change of leader the new leader selects the same victims again,
 * because jobs that are already releasing their accelerators have no eviction cost.
 */
final class PendingEvictions {

	/** The time after which an eviction for a large gang is abandoned. */
	private static final Duration DEFRAGMENTATION_TIMEOUT = Duration.ofSeconds(15);

	private final SchedulingState state;

	private final FreeAcceleratorIndex freeIndex;

	private final TreeMap<Long, Eviction> byJobSequence = new TreeMap<>();

	PendingEvictions(SchedulingState state, FreeAcceleratorIndex freeIndex) {
		this.state = state;
		this.freeIndex = freeIndex;
	}

	boolean isEvictingFor(JobRecord job) {
		return this.byJobSequence.containsKey(job.sequence());
	}

	int size() {
		return this.byJobSequence.size();
	}

	boolean hasUnguaranteed() {
		return this.byJobSequence.values().stream().anyMatch((eviction) -> !eviction.guaranteed());
	}

	// Tells the blocking jobs to release their accelerators and withholds these for the
	// job.
	void begin(JobRecord job, BlockedPlacement blocked, boolean guaranteed, boolean withGrace, Instant now,
			DecisionCollector collector) {
		this.byJobSequence.put(job.sequence(), new Eviction(job, blocked, now, guaranteed));
		setWithheld(blocked, true);
		String reason = "Makes room for " + (guaranteed ? "the guarantee of " : "the large gang of ")
				+ job.spec().account() + ", job " + job.id() + ".";
		for (JobRecord victim : blocked.blockers()) {
			evict(victim, withGrace, reason, now, collector);
		}
		collector.add(new SchedulingDecision.ExplainWait(job.id(),
				"Waits for " + blocked.blockers().size() + " borrowing jobs to leave its accelerators."));
	}

	private void evict(JobRecord victim, boolean withGrace, String reason, Instant now, DecisionCollector collector) {
		GangLease lease = victim.lease().orElseThrow();
		if ("stopping".equals(victim.phase())) {
			return;
		}
		boolean checkpoints = withGrace && victim.spec().checkpointable();
		if (checkpoints && victim.running()) {
			collector.add(new SchedulingDecision.CheckpointGang(victim.id(), lease.token(),
					this.state.declarations().defaults().checkpointGrace(), reason, now));
		}
		else if (!checkpoints || !victim.releasing()) {
			collector.add(new SchedulingDecision.StopGang(victim.id(), lease.token(), reason, now));
		}
	}

	private void setWithheld(BlockedPlacement blocked, boolean withhold) {
		for (Slot slot : blocked.placement().slots()) {
			WorkerRecord worker = this.state.fleet().worker(slot.worker()).orElseThrow();
			long mask = this.freeIndex.withheld(worker.index());
			long own = AcceleratorMask.of(slot);
			this.freeIndex.setWithheld(worker, withhold ? mask | own : mask & ~own);
		}
	}

	// Returns the evictions that timed out, whose job no longer waits or whose workers
	// became unusable.
	Collection<Eviction> expired(Instant now) {
		List<Eviction> expired = new ArrayList<>();
		for (Eviction eviction : this.byJobSequence.values()) {
			Duration timeout = eviction.guaranteed() ? ReclaimCost.EVICTION_TIMEOUT : DEFRAGMENTATION_TIMEOUT;
			boolean timedOut = Duration.between(eviction.startedAt(), now).compareTo(timeout) >= 0;
			if (timedOut || !eviction.job().waiting() || !workersUsable(eviction)) {
				expired.add(eviction);
			}
		}
		return expired;
	}

	private boolean workersUsable(Eviction eviction) {
		return eviction.blocked()
			.placement()
			.slots()
			.stream()
			.allMatch((slot) -> this.state.fleet().worker(slot.worker()).filter(WorkerRecord::usable).isPresent());
	}

	Collection<Eviction> all() {
		return List.copyOf(this.byJobSequence.values());
	}

	// Whether the accelerators are free, with the cores and memory that the job needs.
	// Another placement on the same worker may have taken the cores or memory.
	boolean isComplete(Eviction eviction) {
		return eviction.job().waiting() && isFree(eviction);
	}

	private boolean isFree(Eviction eviction) {
		GangShape shape = eviction.job().spec().shape();
		for (Slot slot : eviction.blocked().placement().slots()) {
			Optional<WorkerRecord> worker = this.state.fleet().worker(slot.worker()).filter(WorkerRecord::usable);
			boolean free = worker.isPresent() && (AcceleratorMask.of(slot) & ~worker.get().freeMask()) == 0
					&& GangFit.hasCoresAndMemory(worker.get(), shape, slot.accelerators());
			if (!free || (GangFit.spansWorkers(shape) && !worker.get().empty())) {
				return false;
			}
		}
		return true;
	}

	void end(Eviction eviction) {
		this.byJobSequence.remove(eviction.job().sequence());
		setWithheld(eviction.blocked(), false);
	}

	/**
	 * An eviction in progress that frees accelerators for a job.
	 *
	 * @param job the job
	 * @param blocked the accelerators and the jobs that are evicted from them
	 * @param startedAt when the eviction began
	 * @param guaranteed whether the job is covered by a guarantee, so that the shorter
	 * time-out for reclaiming applies
	 */
	record Eviction(JobRecord job, BlockedPlacement blocked, Instant startedAt, boolean guaranteed) {

	}

}
