package io.verbenatrack.bench.scheduling;

/**
 * What arrives and what fails in one run of the bench.
 */
public enum Workload {

	/** Jobs of a catering day, with one peak in the evening. */
	CATERING_DAY(0.6, 1, 0, 1, 1.5),

	/** Jobs of a refresher day, with a peak in the morning and one in the afternoon. */
	REFRESHER_DAY(0.4, 2, 0, 1, 1.5),

	/** Eight bursts that bring a fifth of the jobs as gangs of 32. */
	LARGE_BURSTS(0, 1, 0.2, 32, 1.5),

	/** Eight bursts that bring half of the jobs as single accelerators. */
	SMALL_BURSTS(0, 1, 0.5, 1, 1.5),

	/** Declared run times are off by a factor of 0.2 to 5. */
	WRONG_ESTIMATES(0, 1, 0, 1, 5),

	/** Within one second, 10,000 jobs are cancelled. */
	CANCELLATION_WAVE(0, 1, 0, 1, 1.4),

	/** Within one second, 2,000 jobs arrive. */
	ARRIVAL_BURST(0, 1, 0, 1, 1.3),

	/** One worker in fifteen fails everything that it starts. */
	BLACK_HOLES(0, 1, 0, 1, 1.6),

	/** A rack is lost for a while at half time. */
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

	// Moves an arrival, given as a share of the day, towards the nearest peak.
	double arrival(double share) {
		double turns = 2 * Math.PI * this.peaks;
		return share + this.peakHeight * Math.sin(turns * share) / turns;
	}

	// Moves an arrival back to the burst before it.
	double burst(double share) {
		return Math.floor(share * BURSTS) / BURSTS;
	}

	// The declared over the true run time, for a draw from -1 to 1.
	double estimateError(double draw) {
		return Math.pow(this.estimateFactor, draw);
	}

}
