package io.verbenatrack.routing;

/**
 * Limits retries and hedges to a share of the first attempts.
 * <p>
 * A token bucket that first attempts fill, as in gRPC proposal A6 and Finagle.
 */
final class RetryBudget {

	private static final double MAXIMUM_TOKENS = 10;

	private final double share;

	private double tokens = 1;

	RetryBudget(double share) {
		this.share = share;
	}

	void recordFirstAttempt() {
		this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + this.share);
	}

	boolean tryWithdraw() {
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}
