package io.verbenatrack.fleet.forecast;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.fleet.model.StepSpec;

/**
 * The runs in progress of a step, or of one run of a gang.
 */
final class StepTrack {

	/** Runs of a step from whose paces the run time of its tasks is known. */
	private static final int MIN_PACED = 4;

	/** More would hardly change the median of the step. */
	static final int MAX_DONE = 64;

	private static final double MIN_SPREAD = 0.1;

	/** Standard deviation of a normal distribution over its mean absolute deviation. */
	private static final double SIGMA_PER_DEVIATION = 1.25;

	private final RunClass runClass;

	private final double logEstimate;

	private final StepSpec spec;

	private final int gangRun;

	private final List<WorkerModel> gangWorkers;

	private final List<RunTrack> runs = new ArrayList<>();

	/** Run times of tasks that are done, with the workers that ran them. */
	private final List<DoneRun> done = new ArrayList<>();

	private int doneCount;

	private double expected;

	private double expectedSpread;

	private double prediction;

	private double total;

	private double spread;

	private int paced;

	private boolean sampled;

	private boolean remote;

	private WorkerModel slowest;

	StepTrack(RunClass runClass, StepSpec spec, double logEstimate, int gangRun, List<WorkerModel> gangWorkers) {
		this.runClass = runClass;
		this.spec = spec;
		this.logEstimate = logEstimate;
		this.gangRun = gangRun;
		this.gangWorkers = gangWorkers;
		updateGang();
	}

	RunClass runClass() {
		return this.runClass;
	}

	double logEstimate() {
		return this.logEstimate;
	}

	boolean gang() {
		return this.spec.gang();
	}

	int gangRun() {
		return this.gangRun;
	}

	List<WorkerModel> gangWorkers() {
		return this.gangWorkers;
	}

	List<RunTrack> runs() {
		return this.runs;
	}

	/**
	 * Returns the weight of a run as a sample of its class. The tasks of a step are
	 * alike, so many of them tell little more than a few.
	 * @return the weight, at most 1
	 */
	double sampleWeight() {
		return gang() ? 1 : 1 / Math.sqrt(this.spec.count());
	}

	/**
	 * Sets what is expected of its runs before they tell it themselves.
	 * @param logTotal the logarithm of the run time at speed 1
	 * @param logSpread the standard deviation of this logarithm
	 * @param learned the logarithm that was learned, whether or not it is in use
	 */
	void expect(double logTotal, double logSpread, double learned) {
		this.expected = logTotal;
		this.expectedSpread = Math.max(MIN_SPREAD, logSpread);
		this.prediction = learned;
	}

	double prediction() {
		return this.prediction;
	}

	/**
	 * Returns whether the runs of the step tell how long its tasks take.
	 * @return whether enough of them have made progress
	 */
	boolean known() {
		return this.paced >= MIN_PACED;
	}

	/**
	 * Returns the run time that the step's runs in progress tell, or what was expected.
	 * @return the logarithm of the run time at speed 1
	 */
	double logTotal() {
		return known() ? this.total : this.expected;
	}

	double logSpread() {
		return known() ? this.spread : this.expectedSpread;
	}

	/**
	 * Keeps the run time of a task that is done. Without these, the step's slow runs
	 * would look normal as soon as only they are left.
	 * @param worker the worker that ran it
	 * @param logMillis the logarithm of the run time
	 */
	void addDone(WorkerModel worker, double logMillis) {
		DoneRun run = new DoneRun(worker, logMillis);
		if (this.done.size() < MAX_DONE) {
			this.done.add(run);
		}
		else {
			this.done.set(this.doneCount % MAX_DONE, run);
		}
		this.doneCount++;
	}

	/**
	 * Derives the run time of the tasks from the runs that are done and the paces of
	 * those in progress.
	 * @param scratch room for as many numbers as there are runs, and {@link #MAX_DONE}
	 */
	void updateTotal(double[] scratch) {
		this.paced = 0;
		for (DoneRun run : this.done) {
			scratch[this.paced++] = run.logMillis() + run.worker().logSpeed();
		}
		// As many of the runs in progress are left out as of those that are done.
		int stride = Math.max(1, this.doneCount / MAX_DONE);
		for (int index = 0; index < this.runs.size(); index += stride) {
			RunTrack run = this.runs.get(index);
			if (run.paced() && !run.remote()) {
				scratch[this.paced++] = run.logPace() + run.logSpeed();
			}
		}
		if (this.paced == 0) {
			return;
		}
		Arrays.sort(scratch, 0, this.paced);
		this.total = (scratch[(this.paced - 1) / 2] + scratch[this.paced / 2]) / 2;
		double deviation = 0;
		for (int index = this.paced / 4; index < this.paced - this.paced / 4; index++) {
			deviation += Math.abs(scratch[index] - this.total);
		}
		int counted = this.paced - 2 * (this.paced / 4);
		// The middle half of a normal distribution deviates half as much as the whole.
		this.spread = Math.max(MIN_SPREAD, 2 * SIGMA_PER_DEVIATION * deviation / counted);
	}

	double pacedTotal() {
		return this.total;
	}

	/**
	 * Updates which member slows the gang down, and whether it is spread over racks or
	 * away from its data.
	 */
	void updateGang() {
		this.slowest = null;
		String rack = null;
		this.remote = false;
		for (WorkerModel worker : this.gangWorkers) {
			if (this.slowest == null || worker.logSpeed() < this.slowest.logSpeed()) {
				this.slowest = worker;
			}
			if (!worker.rack().isEmpty()) {
				this.remote |= isRemote(worker.rack())
						|| (this.spec.rackSensitive() && rack != null && !rack.equals(worker.rack()));
				rack = worker.rack();
			}
		}
	}

	boolean isRemote(String rack) {
		Optional<String> dataRack = this.spec.dataRack();
		return dataRack.isPresent() && !dataRack.get().equals(rack);
	}

	boolean gangRemote() {
		return this.remote;
	}

	WorkerModel slowest() {
		return this.slowest;
	}

	/**
	 * Marks the gang as a sample, which it is only once.
	 * @return whether it was not marked before
	 */
	boolean markSampled() {
		boolean first = !this.sampled;
		this.sampled = true;
		return first;
	}

	private record DoneRun(WorkerModel worker, double logMillis) {

	}

}
