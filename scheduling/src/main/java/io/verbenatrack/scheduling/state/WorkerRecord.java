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
 * One worker and what it holds; accelerators are bits of a mask, bit 0 the first.
 */
public final class WorkerRecord {

	private final int index;

	private final Map<Long, JobRecord> jobs = new TreeMap<>();

	private WorkerSpec spec;

	private String phase = Charts.WORKER.initialState();

	private long freeMask;

	private int freeCores;

	private int freeMemoryGib;

	private int failuresInARow;

	private int successes;

	private Instant quarantinedUntil = Instant.EPOCH;

	WorkerRecord(int index, WorkerSpec spec) {
		this.index = index;
		admit(spec);
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

	void admit(WorkerSpec announced) {
		this.spec = announced;
		this.freeMask = AcceleratorMask.first(announced.accelerators());
		this.freeCores = announced.cores();
		this.freeMemoryGib = announced.memoryGib();
	}

	void changePhase(String event) {
		this.phase = Charts.next(Charts.WORKER, this.phase, event);
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

	void forgetJobs() {
		this.jobs.clear();
		admit(this.spec);
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
	 * The place of the worker in the order of first announcements.
	 * @return the index, from 0, never reused
	 */
	public int index() {
		return this.index;
	}

	/**
	 * The worker.
	 * @return its id
	 */
	public WorkerId id() {
		return this.spec.id();
	}

	/**
	 * What the worker announced last.
	 * @return its sizes and place
	 */
	public WorkerSpec spec() {
		return this.spec;
	}

	/**
	 * The state of the worker chart.
	 * @return the state
	 */
	public String phase() {
		return this.phase;
	}

	/**
	 * Whether the worker may get new work.
	 * @return true when it is ready or on probation
	 */
	public boolean usable() {
		return "ready".equals(this.phase) || "probation".equals(this.phase);
	}

	/**
	 * The accelerators that no job holds.
	 * @return a bit for each
	 */
	public long freeMask() {
		return this.freeMask;
	}

	/**
	 * The processor cores that no job holds.
	 * @return cores
	 */
	public int freeCores() {
		return this.freeCores;
	}

	/**
	 * The memory that no job holds.
	 * @return memory in GiB
	 */
	public int freeMemoryGib() {
		return this.freeMemoryGib;
	}

	/**
	 * Whether no job holds anything here.
	 * @return whether it is empty
	 */
	public boolean empty() {
		return this.jobs.isEmpty();
	}

	/**
	 * The jobs that hold accelerators here, in order of acceptance.
	 * @return the jobs
	 */
	public Collection<JobRecord> jobs() {
		return Collections.unmodifiableCollection(this.jobs.values());
	}

	/**
	 * Failed members since the last one that finished.
	 * @return how many
	 */
	public int failuresInARow() {
		return this.failuresInARow;
	}

	/**
	 * Members that ever finished here.
	 * @return how many
	 */
	public int successes() {
		return this.successes;
	}

	/**
	 * When the quarantine ends.
	 * @return the time, meaningful while quarantined
	 */
	public Instant quarantinedUntil() {
		return this.quarantinedUntil;
	}

}
