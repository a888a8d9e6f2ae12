package io.verbenatrack.model;

/**
 * A lease clock on a monotonic clock that counts suspensions of the machine.
 *
 * @param clock the monotonic clock
 */
record ExactLeaseClock(MonotonicClock clock) implements LeaseClock {

	@Override
	public boolean exact() {
		return true;
	}

	@Override
	public HeldTime held() {
		return new HeldTime(this.clock.nanoTime());
	}

	@Override
	public GrantedTime granted() {
		return new GrantedTime(this.clock.nanoTime());
	}

}
