package io.verbenatrack.scheduling.state;

import java.time.Instant;
import java.util.Collection;
import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * The state of a worker and its free capacity. In masks, bit 0 is the first accelerator.
 */
public final class WorkerRecord {

	private final int index;

	private final Map<Long, JobRecord> jobs = new TreeMap<>();

	private WorkerSpec spec;

	private String phase = StateCharts.WORKER.initialState();

	private long freeMask;

	private int freeCores;

	private int freeMemoryGib;

	private int failuresInARow;

	private int successes;

	private Instant quarantinedUntil = Instant.EPOCH;

	WorkerRecord(int index, WorkerSpec spec) {
		this.index = index;
		reset(spec);
	}

	WorkerRecord(int index, SchedulingDecision.RestoreWorker snapshot) {
		this(index, snapshot.worker());
		this.phase = snapshot.phase();
		this.failuresInARow = snapshot.failuresInARow();
		this.successes = snapshot.successes();
		this.quarantinedUntil = snapshot.quarantinedUntil();
	}

	SchedulingDecision.RestoreWorker snapshot() {
		return new SchedulingDecision.RestoreWorker(this.spec, this.phase, this.failuresInARow, this.successes,
				this.quarantinedUntil);
	}

	void reset(WorkerSpec announced) {
		this.spec = announced;
		this.freeMask = AcceleratorMask.first(announced.accelerators());
		this.freeCores = announced.cores();
		this.freeMemoryGib = announced.memoryGib();
	}

	void changePhase(String event) {
		this.phase = StateCharts.next(StateCharts.WORKER, this.phase, event);
	}

	void hold(JobRecord job, Slot slot) {
		this.jobs.put(job.sequence(), job);
		this.freeMask &= ~AcceleratorMask.of(slot);
		this.freeCores -= slot.accelerators() * job.spec().shape().coresPerAccelerator();
		this.freeMemoryGib -= slot.accelerators() * job.spec().shape().memoryGibPerAccelerator();
	}

	void release(JobRecord job, Slot slot) {
		if (this.jobs.remove(job.sequence()) == null) {
			return;
		}
		this.freeMask |= AcceleratorMask.of(slot);
		this.freeCores += slot.accelerators() * job.spec().shape().coresPerAccelerator();
		this.freeMemoryGib += slot.accelerators() * job.spec().shape().memoryGibPerAccelerator();
	}

	void releaseAll() {
		this.jobs.clear();
		reset(this.spec);
	}

	void recordFailure() {
		this.failuresInARow++;
	}

	void recordSuccess() {
		this.failuresInARow = 0;
		this.successes++;
		if ("probation".equals(this.phase)) {
			changePhase("succeed");
		}
	}

	void quarantine(Instant until) {
		changePhase("quarantine");
		this.quarantinedUntil = until;
	}

	/**
	 * Returns the position of the worker in the order of first announcements.
	 * @return the index, from 0, which is never reused
	 */
	public int index() {
		return this.index;
	}

	/**
	 * Returns the id of the worker.
	 * @return its id
	 */
	public WorkerId id() {
		return this.spec.id();
	}

	/**
	 * Returns the specification that the worker announced when it was last admitted.
	 * @return its capacity and location
	 */
	public WorkerSpec spec() {
		return this.spec;
	}

	/**
	 * Returns the state of the worker chart.
	 * @return the state
	 */
	public String phase() {
		return this.phase;
	}

	/**
	 * Returns whether the worker can get new work.
	 * @return true when it is ready or on probation
	 */
	public boolean usable() {
		return "ready".equals(this.phase) || "probation".equals(this.phase);
	}

	/**
	 * Returns the mask of the accelerators that no job holds.
	 * @return a mask with a bit for each free accelerator
	 */
	public long freeMask() {
		return this.freeMask;
	}

	/**
	 * Returns the number of processor cores that no job holds.
	 * @return the number of cores
	 */
	public int freeCores() {
		return this.freeCores;
	}

	/**
	 * Returns the memory that no job holds.
	 * @return the memory in GiB
	 */
	public int freeMemoryGib() {
		return this.freeMemoryGib;
	}

	/**
	 * Returns whether no job holds capacity on this worker.
	 * @return whether it is empty
	 */
	public boolean empty() {
		return this.jobs.isEmpty();
	}

	/**
	 * Returns the jobs that hold accelerators of this worker, in order of acceptance.
	 * @return the jobs
	 */
	public Collection<JobRecord> jobs() {
		return Collections.unmodifiableCollection(this.jobs.values());
	}

	/**
	 * Returns the number of failed members since the last one that finished.
	 * @return the count
	 */
	public int failuresInARow() {
		return this.failuresInARow;
	}

	/**
	 * Returns the number of members that ever finished on this worker.
	 * @return the count
	 */
	public int successes() {
		return this.successes;
	}

	/**
	 * Returns when the quarantine ends.
	 * @return the time, only meaningful while the worker is quarantined
	 */
	public Instant quarantinedUntil() {
		return this.quarantinedUntil;
	}

}
