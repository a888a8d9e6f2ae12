package io.verbenatrack.fleet.forecast;

import java.util.Arrays;

import io.verbenatrack.fleet.model.WorkerSpeed;
import io.verbenatrack.model.WorkerId;

/**
 * The speed of a worker: a robust mean of the logarithms of the ratio between the
 * expected and the observed time of its runs, with a prior at speed 1.
 */
final class WorkerModel {

	/** The latest runs that are over and still count. */
	private static final int REMEMBERED = 12;

	/** Runs in progress that count at a time. */
	private static final int MAX_OPEN = 32;

	/**
	 * Weight of the prior in the choice of the centre, relative to the run that counts
	 * most: a single straggler decides nothing, two that agree do.
	 */
	private static final double PRIOR_SHARE = 0.9;

	/** A run that deviates by more than a factor of 3 is more likely a straggler. */
	private static final double FAR = 1.1;

	private static final double FAR_SHARE = 0.6;

	/** Weight of the prior in the mean around the centre. */
	private static final double PRIOR_MEAN_WEIGHT = 0.1;

	/** Ratios further from the centre than this are those of stragglers. */
	private static final double MAX_DISTANCE = 0.45;

	/** Time after which a run that is over counts less. */
	private static final double FADE_NANOS = 20e9;

	/** Share of its weight that a run that is over keeps in any case. */
	private static final double MIN_FADED_SHARE = 0.2;

	private static final double SUCCESSOR_SHARE = 0.3;

	private static final double RESTORED_WEIGHT = 1.2;

	private static final double CHANGED_WEIGHT = 3;

	/** The logarithms of the speeds 0.02 and 20. */
	private static final double MIN_SPEED = -3.9;

	private static final double MAX_SPEED = 3;

	private static final double PERCENT = 100;

	/** A difference in speed of 5 percent is recorded. */
	private static final double RECORDED_CHANGE = 0.05;

	private final WorkerId worker;

	private final double[] ratios = new double[REMEMBERED + MAX_OPEN + 1];

	private final double[] weights = new double[REMEMBERED + MAX_OPEN + 1];

	private final double[] pastRatios = new double[REMEMBERED];

	private final double[] pastWeights = new double[REMEMBERED];

	private final long[] pastNanos = new long[REMEMBERED];

	private int past;

	private int open;

	private double logSpeed;

	private boolean measured;

	private long bornMillis;

	private String rack = "";

	private SpeedClass speedClass = SpeedClass.NORMAL;

	private final SpeedWindow window = new SpeedWindow();

	WorkerModel(WorkerId worker) {
		this.worker = worker;
	}

	WorkerId worker() {
		return this.worker;
	}

	String rack() {
		return this.rack;
	}

	SpeedWindow window() {
		return this.window;
	}

	SpeedClass speedClass() {
		return this.speedClass;
	}

	void setSpeedClass(SpeedClass speedClass) {
		this.speedClass = speedClass;
	}

	/**
	 * Records who reports. A new incarnation may run on another machine, so what was
	 * learned counts less.
	 * @param incarnationMillis the start of the incarnation
	 * @param newRack its rack
	 */
	void seen(long incarnationMillis, String newRack) {
		if (this.bornMillis != incarnationMillis && this.bornMillis != 0) {
			for (int index = 0; index < REMEMBERED; index++) {
				this.pastWeights[index] *= SUCCESSOR_SHARE;
			}
			this.window.clear();
		}
		this.bornMillis = incarnationMillis;
		this.rack = newRack;
	}

	void restore(int percent, long nowNanos) {
		this.logSpeed = Math.clamp(Math.log(Math.max(1, percent) / PERCENT), MIN_SPEED, MAX_SPEED);
		this.measured = true;
		addPast(this.logSpeed, RESTORED_WEIGHT, nowNanos);
	}

	/**
	 * Returns the speed.
	 * @return the logarithm of the speed
	 */
	double logSpeed() {
		return this.logSpeed;
	}

	/**
	 * Returns whether any run tells the speed.
	 * @return whether the speed differs from 1 for a reason
	 */
	boolean measured() {
		return this.measured;
	}

	void addPast(double ratio, double weight, long nowNanos) {
		int slot = this.past++ % REMEMBERED;
		this.pastRatios[slot] = ratio;
		this.pastWeights[slot] = weight;
		this.pastNanos[slot] = nowNanos;
	}

	void clearOpen() {
		this.open = 0;
	}

	void addOpen(double ratio, double weight) {
		if (this.open < MAX_OPEN) {
			this.ratios[this.open] = ratio;
			this.weights[this.open] = weight;
			this.open++;
		}
	}

	/**
	 * Takes a sudden change of speed into account.
	 * @param change the logarithm of the factor
	 * @param nowNanos the time
	 */
	void change(double change, long nowNanos) {
		this.logSpeed = Math.clamp(this.logSpeed + change, MIN_SPEED, MAX_SPEED);
		this.measured = true;
		Arrays.fill(this.pastWeights, 0);
		this.past = 0;
		addPast(this.logSpeed, CHANGED_WEIGHT, nowNanos);
		this.open = 0;
	}

	/**
	 * Determines the speed from the runs in progress and those that are over.
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 */
	void update(long nowNanos) {
		int count = this.open;
		for (int index = 0; index < Math.min(this.past, REMEMBERED); index++) {
			if (this.pastWeights[index] > 0) {
				double faded = Math.exp(-Math.max(0, nowNanos - this.pastNanos[index]) / FADE_NANOS);
				this.ratios[count] = this.pastRatios[index];
				this.weights[count++] = this.pastWeights[index] * Math.max(MIN_FADED_SHARE, faded);
			}
		}
		double heaviest = 0;
		for (int index = 0; index < count; index++) {
			heaviest = Math.max(heaviest, this.weights[index]);
			this.weights[index] *= isFar(this.ratios[index]) ? FAR_SHARE : 1;
		}
		if (count == 0) {
			return;
		}
		this.measured = true;
		this.ratios[count] = 0;
		this.weights[count] = PRIOR_SHARE * heaviest;
		double center = weightedMedian(count + 1);
		double sum = 0;
		double weight = PRIOR_MEAN_WEIGHT;
		for (int index = 0; index < count + 1; index++) {
			if (Math.abs(this.ratios[index] - center) <= MAX_DISTANCE) {
				sum += this.ratios[index] * this.weights[index];
				weight += this.weights[index];
			}
		}
		this.logSpeed = Math.clamp(sum / weight, MIN_SPEED, MAX_SPEED);
		this.open = 0;
	}

	private boolean isFar(double ratio) {
		return Math.abs(ratio) > FAR && Math.abs(ratio - this.logSpeed) > FAR;
	}

	// Insertion sort, as there are few values and most of them keep their order.
	private double weightedMedian(int count) {
		double total = 0;
		for (int index = 0; index < count; index++) {
			double ratio = this.ratios[index];
			double weight = this.weights[index];
			total += weight;
			int slot = index;
			for (; slot > 0 && this.ratios[slot - 1] > ratio; slot--) {
				this.ratios[slot] = this.ratios[slot - 1];
				this.weights[slot] = this.weights[slot - 1];
			}
			this.ratios[slot] = ratio;
			this.weights[slot] = weight;
		}
		double below = 0;
		for (int index = 0; index < count; index++) {
			below += this.weights[index];
			if (below >= total / 2) {
				return this.ratios[index];
			}
		}
		return 0;
	}

	/**
	 * Moves the speed when the speed 1 becomes that of other workers.
	 * @param offset the difference of the logarithms
	 */
	void shift(double offset) {
		this.logSpeed += offset;
		for (int index = 0; index < REMEMBERED; index++) {
			this.pastRatios[index] += offset;
		}
	}

	WorkerSpeed summary() {
		return new WorkerSpeed(this.worker, (int) Math.max(1, Math.round(PERCENT * Math.exp(this.logSpeed))));
	}

	boolean differsFrom(int percent) {
		return Math.abs(this.logSpeed - Math.log(percent / PERCENT)) > RECORDED_CHANGE;
	}

}
