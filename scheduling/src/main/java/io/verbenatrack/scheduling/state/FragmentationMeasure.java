package io.verbenatrack.scheduling.state;

import java.util.Optional;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;

/**
 * Computes the fragmentation of the fleet: the fraction of the free accelerators that the
 * largest waiting guaranteed shape cannot use.
 */
public final class FragmentationMeasure {

	private FragmentationMeasure() {
	}

	/**
	 * Computes the fragmentation, which is 0 when no guaranteed shape waits.
	 * @param state the state
	 * @return the fraction, from 0 to 1
	 */
	public static double of(SchedulingState state) {
		return largestWaiting(state).map((shape) -> unusableFraction(state, shape)).orElse(0.0);
	}

	private static Optional<GangShape> largestWaiting(SchedulingState state) {
		GangShape largest = null;
		for (JobRecord job : state.jobs().waiting()) {
			GangShape shape = job.spec().shape();
			boolean larger = largest == null || shape.accelerators() > largest.accelerators();
			if (larger && isGuaranteed(state, job)) {
				largest = shape;
			}
		}
		return Optional.ofNullable(largest);
	}

	private static boolean isGuaranteed(SchedulingState state, JobRecord job) {
		Optional<AccountDeclaration> account = state.declarations().account(job.spec().account());
		if (account.isEmpty()) {
			return false;
		}
		for (Guarantee guarantee : account.get().guarantees()) {
			if (guarantee.shape().accelerators() >= job.spec().shape().accelerators()) {
				return true;
			}
		}
		return false;
	}

	private static double unusableFraction(SchedulingState state, GangShape shape) {
		int free = 0;
		int usable = 0;
		for (RackRecord rack : state.fleet().racks()) {
			for (WorkerRecord worker : rack.workers()) {
				free += worker.usable() ? Long.bitCount(worker.freeMask()) : 0;
			}
			usable += GangFit.usableAccelerators(rack, shape);
		}
		return (free != 0) ? 1.0 - (double) usable / free : 0;
	}

}
