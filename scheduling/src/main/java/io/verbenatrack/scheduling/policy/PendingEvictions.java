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

	private static final Duration OPPORTUNISTIC_PATIENCE = Duration.ofSeconds(15);

	private final SchedulingState state;

	private final FreeAcceleratorIndex rooms;

	private final TreeMap<Long, Eviction> bySequence = new TreeMap<>();

	PendingEvictions(SchedulingState state, FreeAcceleratorIndex rooms) {
		this.state = state;
		this.rooms = rooms;
	}

	boolean isClaiming(JobRecord job) {
		return this.bySequence.containsKey(job.sequence());
	}

	int size() {
		return this.bySequence.size();
	}

	boolean hasOpportunistic() {
		return this.bySequence.values().stream().anyMatch((claim) -> !claim.bounded());
	}

	// Tells the blocking jobs to release their accelerators and withholds these for the
	// job.
	void begin(JobRecord job, BlockedPlacement window, boolean bounded, boolean withGrace, Instant now,
			DecisionCollector log) {
		this.bySequence.put(job.sequence(), new Eviction(job, window, now, bounded));
		setClaimed(window, true);
		String reason = "Makes room for " + (bounded ? "the guarantee of " : "the large gang of ")
				+ job.spec().account() + ", job " + job.id() + ".";
		for (JobRecord victim : window.victims()) {
			evict(victim, withGrace, reason, now, log);
		}
		log.add(new SchedulingDecision.ExplainWait(job.id(),
				"Waits for " + window.victims().size() + " borrowing jobs to leave its accelerators."));
	}

	private void evict(JobRecord victim, boolean withGrace, String reason, Instant now, DecisionCollector log) {
		GangLease lease = victim.lease().orElseThrow();
		if ("stopping".equals(victim.phase())) {
			return;
		}
		boolean saves = withGrace && victim.spec().checkpointable();
		if (saves && victim.running()) {
			log.add(new SchedulingDecision.CheckpointGang(victim.id(), lease.token(),
					this.state.declarations().defaults().checkpointGrace(), reason, now));
		}
		else if (!saves || !victim.leaving()) {
			log.add(new SchedulingDecision.StopGang(victim.id(), lease.token(), reason, now));
		}
	}

	private void setClaimed(BlockedPlacement window, boolean claimed) {
		for (Slot slot : window.placement().slots()) {
			WorkerRecord worker = this.state.fleet().worker(slot.worker()).orElseThrow();
			long mask = this.rooms.claimed(worker.index());
			long own = AcceleratorMask.of(slot);
			this.rooms.setClaimed(worker, claimed ? mask | own : mask & ~own);
		}
	}

	// Returns the evictions that timed out, whose job no longer waits or whose workers
	// became unusable.
	Collection<Eviction> expired(Instant now) {
		List<Eviction> expired = new ArrayList<>();
		for (Eviction claim : this.bySequence.values()) {
			Duration patience = claim.bounded() ? ReclaimCost.PATIENCE : OPPORTUNISTIC_PATIENCE;
			boolean late = Duration.between(claim.since(), now).compareTo(patience) >= 0;
			if (late || !claim.job().waiting() || !workersUsable(claim)) {
				expired.add(claim);
			}
		}
		return expired;
	}

	private boolean workersUsable(Eviction claim) {
		return claim.window()
			.placement()
			.slots()
			.stream()
			.allMatch((slot) -> this.state.fleet().worker(slot.worker()).filter(WorkerRecord::usable).isPresent());
	}

	Collection<Eviction> all() {
		return List.copyOf(this.bySequence.values());
	}

	// Whether the accelerators are free, with the cores and memory that the job needs.
	// Another placement on the same worker may have taken the cores or memory.
	boolean isClear(Eviction claim) {
		return claim.job().waiting() && isFree(claim);
	}

	private boolean isFree(Eviction claim) {
		GangShape shape = claim.job().spec().shape();
		for (Slot slot : claim.window().placement().slots()) {
			Optional<WorkerRecord> worker = this.state.fleet().worker(slot.worker()).filter(WorkerRecord::usable);
			boolean free = worker.isPresent() && (AcceleratorMask.of(slot) & ~worker.get().freeMask()) == 0
					&& GangFit.hasCoresAndMemory(worker.get(), shape, slot.accelerators());
			if (!free || (GangFit.spansWorkers(shape) && !worker.get().empty())) {
				return false;
			}
		}
		return true;
	}

	void end(Eviction claim) {
		this.bySequence.remove(claim.job().sequence());
		setClaimed(claim.window(), false);
	}

	/**
	 * An eviction in progress that frees accelerators for a job.
	 *
	 * @param job the job
	 * @param window the accelerators and the jobs that are evicted from them
	 * @param since when the eviction began
	 * @param bounded whether the job is covered by a guarantee, so that the shorter
	 * time-out for reclaiming applies
	 */
	record Eviction(JobRecord job, BlockedPlacement window, Instant since, boolean bounded) {

	}

}
