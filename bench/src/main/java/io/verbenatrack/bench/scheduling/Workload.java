package io.verbenatrack.bench.scheduling;

/**
 * Workloads: pattern of job arrivals and worker failures.
 */
public enum Workload {

	/** One arrival peak a day, as in the catering deployment. */
	CATERING_DAY(0.6, 1, 0, 1, 1.5),

	/** Two arrival peaks a day, as in the refresher deployment. */
	REFRESHER_DAY(0.4, 2, 0, 1, 1.5),

	/** A fifth of the jobs arrive in eight bursts, as gangs of 32. */
	LARGE_BURSTS(0, 1, 0.2, 32, 1.5),

	/** Half of the jobs arrive in eight bursts, with one accelerator each. */
	SMALL_BURSTS(0, 1, 0.5, 1, 1.5),

	/** Declared run times differ from the actual ones by a factor of 0.2 to 5. */
	WRONG_ESTIMATES(0, 1, 0, 1, 5),

	/** 10,000 additional jobs, of which most are cancelled within one second. */
	CANCELLATION_WAVE(0, 1, 0, 1, 1.4),

	/** 2,000 additional jobs arrive within one second. */
	ARRIVAL_BURST(0, 1, 0, 1, 1.3),

	/** One worker in fifteen fails every job that it starts. */
	BLACK_HOLES(0, 1, 0, 1, 1.6),

	/** A rack is lost for one hour at half time. */
	RACK_LOSS(0, 1, 0, 1, 1.7);

	private static final int BURSTS = 8;

	private final double peakHeight;

	private final int peaks;

	private final double burstShare;

	private final int burstGang;

	private final double estimateFactor;

	Workload(double peakHeight, int peaks, double burstShare, int burstGang, double estimateFactor) {
		this.peakHeight = peakHeight;
		this.peaks = peaks;
		this.burstShare = burstShare;
		this.burstGang = burstGang;
		this.estimateFactor = estimateFactor;
	}

	double burstShare() {
		return this.burstShare;
	}

	int burstGang() {
		return this.burstGang;
	}

	// Shifts an arrival, given as a share of the day, towards the nearest peak.
	double peakArrival(double share) {
		double turns = 2 * Math.PI * this.peaks;
		return share + this.peakHeight * Math.sin(turns * share) / turns;
	}

	// Moves an arrival back to the preceding burst.
	double burstArrival(double share) {
		return Math.floor(share * BURSTS) / BURSTS;
	}

	// Returns the ratio of declared to actual run time for a random value from -1 to 1.
	double estimateRatio(double randomValue) {
		return Math.pow(this.estimateFactor, randomValue);
	}

}
