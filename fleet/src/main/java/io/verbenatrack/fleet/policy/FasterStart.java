package io.verbenatrack.fleet.policy;

import java.util.Collection;
import java.util.List;

/**
 * Decides whether a step that could start on slow workers ends sooner when it waits for
 * faster ones. It waits only for workers that are reserved for it, so that many steps do
 * not wait for the same workers while slow ones are idle.
 */
final class FasterStart {

	private final Reservations reservations;

	private final long nowNanos;

	private final long nowMillis;

	/**
	 * Creates the decision for a pass.
	 * @param reservations the reservations of the pass
	 * @param nowNanos the time in nanoseconds of the monotonic clock
	 * @param nowMillis the time in milliseconds since the epoch
	 */
	FasterStart(Reservations reservations, long nowNanos, long nowMillis) {
		this.reservations = reservations;
		this.nowNanos = nowNanos;
		this.nowMillis = nowMillis;
	}

	/**
	 * Reserves faster workers for a step if it then ends sooner, by the cautious forecast
	 * of what runs there. The total wait is limited to the time that the faster workers
	 * save, as the forecast may be wrong in each pass.
	 * @param step the step, with the tasks that would start
	 * @param preference the speeds that it prefers
	 * @param tier the slowest tier on which it could start now
	 * @param eligible the workers on which it may start
	 * @param service the use of its service
	 * @param waitedMillis how long it has waited
	 * @return whether it waits
	 */
	boolean reserveIfSooner(PendingStep step, SpeedPreference preference, int tier,
			Collection<CandidateWorker> eligible, ServiceUse service, long waitedMillis) {
		if (preference.suits(tier)) {
			return false;
		}
		for (int faster = 0; faster < tier; faster++) {
			long savedMillis = preference.runMillis(tier) - preference.runMillis(faster);
			int slowest = faster;
			List<CandidateWorker> workers = eligible.stream().filter((worker) -> worker.tier() <= slowest).toList();
			if (waitedMillis < savedMillis && this.reservations.reserve(step, workers, service, this.nowNanos,
					this.nowMillis, this.nowMillis + savedMillis - waitedMillis)) {
				return true;
			}
		}
		return false;
	}

}
