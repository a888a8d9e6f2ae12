package io.verbenatrack.bench.control;

import java.util.SplittableRandom;

/**
 * Injects faults into a simulated cluster and ends them after their duration.
 */
final class FaultInjector {

	private static final long MILLIS = 1_000_000;

	private static final double LOST_PART = 0.25;

	private static final double DOUBLED_PART = 0.4;

	/**
	 * Stays within the drift that the leader lease tolerates: the lease ends at 80% of
	 * the election timeout.
	 */
	private static final double CLOCK_DRIFT = 0.05;

	private static final long CLOCK_STEP_NANOS = 3_600_000 * MILLIS;

	private final SimulatedCluster cluster;

	private final SplittableRandom random;

	FaultInjector(SimulatedCluster cluster, SplittableRandom random) {
		this.cluster = cluster;
		this.random = random;
	}

	/**
	 * Injects a fault.
	 * @param kind the kind of fault
	 * @param victim the affected replica; ignored for faults of the whole network
	 * @param durationNanos the duration in nanoseconds; ignored for kinds with a random
	 * duration
	 */
	void inject(FaultKind kind, SimulatedReplica victim, long durationNanos) {
		SimulatedNetwork network = this.cluster.network();
		switch (kind) {
			case PROCESS_DEATH -> restartAfter(victim, durationNanos);
			case RESTART, TORN_WRITE -> restartAfter(victim, (50 + this.random.nextLong(450)) * MILLIS);
			case PARTITION_BOTH -> {
				silence(victim, true, true);
				after(durationNanos, () -> silence(victim, false, false));
			}
			case PARTITION_IN -> {
				silence(victim, false, true);
				after(durationNanos, () -> silence(victim, false, false));
			}
			case PARTITION_OUT -> {
				silence(victim, true, false);
				after(durationNanos, () -> silence(victim, false, false));
			}
			case SLOW_DISK -> {
				victim.disk().slowNanos((20 + this.random.nextLong(380)) * MILLIS);
				after(durationNanos, () -> victim.disk().slowNanos(0));
			}
			case DISK_FULL -> {
				victim.disk().full(true);
				after(durationNanos, () -> victim.disk().full(false));
			}
			case DISK_LOST -> loseDisk(victim);
			case MESSAGE_LOSS -> {
				network.loss(LOST_PART);
				after(durationNanos, () -> network.loss(0));
			}
			case MESSAGE_DUPLICATION -> {
				network.duplication(DOUBLED_PART);
				after(durationNanos, () -> network.duplication(0));
			}
			case MESSAGE_REORDERING -> {
				network.reorder(true);
				after(durationNanos, () -> network.reorder(false));
			}
			case CLOCK_STEP -> {
				victim.stepWallClock((this.random.nextBoolean() ? 1 : -1) * CLOCK_STEP_NANOS);
				victim.clockRate(1 + CLOCK_DRIFT * (this.random.nextDouble() * 2 - 1));
				after(durationNanos, () -> victim.clockRate(1));
			}
			case PAUSE -> victim.pause((200 + this.random.nextLong(2_800)) * MILLIS);
		}
	}

	private void after(long nanos, Runnable action) {
		this.cluster.time().after(nanos, action);
	}

	private void silence(SimulatedReplica victim, boolean from, boolean to) {
		this.cluster.network().silenceFrom(victim.id(), from);
		this.cluster.network().silenceTo(victim.id(), to);
	}

	private void restartAfter(SimulatedReplica victim, long nanos) {
		victim.crash();
		after(nanos, () -> restart(victim));
	}

	private static void restart(SimulatedReplica victim) {
		if (!victim.alive()) {
			victim.start();
		}
	}

	private void loseDisk(SimulatedReplica victim) {
		if (!this.cluster.mayLoseADisk()) {
			return;
		}
		victim.crash();
		victim.loseDisk();
		after((50 + this.random.nextLong(450)) * MILLIS, () -> restart(victim));
	}

}
