package io.verbenatrack.bench.control;

import java.util.SplittableRandom;

/**
 * Injects faults into a simulated cluster and ends them after their duration.
 */
final class FaultInjector {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final double LOSS_RATE = 0.25;

	private static final double DUPLICATION_RATE = 0.4;

	/**
	 * Stays within the drift that the leader lease tolerates: the lease ends at 80% of
	 * the election timeout.
	 */
	private static final double MAXIMUM_CLOCK_DRIFT = 0.05;

	private static final long CLOCK_STEP_NANOS = 3_600_000 * NANOS_PER_MILLI;

	private static final long MIN_JUMP_NANOS = 100 * NANOS_PER_MILLI;

	private static final long MAX_JUMP_NANOS = 5000 * NANOS_PER_MILLI;

	private static final long MAX_JUMP_PAUSE_NANOS = 600 * NANOS_PER_MILLI;

	private static final long MAX_SUSPENSION_NANOS = 8000 * NANOS_PER_MILLI;

	private final SimulatedCluster cluster;

	private final SplittableRandom random;

	FaultInjector(SimulatedCluster cluster, SplittableRandom random) {
		this.cluster = cluster;
		this.random = random;
	}

	/**
	 * Injects a fault.
	 * @param kind the kind of fault
	 * @param affected the affected replica; ignored for faults of the whole network
	 * @param durationNanos the duration in nanoseconds; ignored for kinds with a random
	 * duration
	 */
	void inject(FaultKind kind, SimulatedReplica affected, long durationNanos) {
		SimulatedNetwork network = this.cluster.network();
		switch (kind) {
			case PROCESS_DEATH -> restartAfter(affected, durationNanos);
			case RESTART, TORN_WRITE -> restartAfter(affected, (50 + this.random.nextLong(450)) * NANOS_PER_MILLI);
			case PARTITION_BOTH -> {
				block(affected, true, true);
				schedule(durationNanos, () -> block(affected, false, false));
			}
			case PARTITION_IN -> {
				block(affected, false, true);
				schedule(durationNanos, () -> block(affected, false, false));
			}
			case PARTITION_OUT -> {
				block(affected, true, false);
				schedule(durationNanos, () -> block(affected, false, false));
			}
			case SLOW_DISK -> {
				affected.disk().extraSyncNanos((20 + this.random.nextLong(380)) * NANOS_PER_MILLI);
				schedule(durationNanos, () -> affected.disk().extraSyncNanos(0));
			}
			case DISK_FULL -> {
				affected.disk().full(true);
				schedule(durationNanos, () -> affected.disk().full(false));
			}
			case DISK_LOST -> loseDisk(affected);
			case MESSAGE_LOSS -> {
				network.loss(LOSS_RATE);
				schedule(durationNanos, () -> network.loss(0));
			}
			case MESSAGE_DUPLICATION -> {
				network.duplication(DUPLICATION_RATE);
				schedule(durationNanos, () -> network.duplication(0));
			}
			case MESSAGE_REORDERING -> {
				network.reorder(true);
				schedule(durationNanos, () -> network.reorder(false));
			}
			case CLOCK_STEP -> {
				affected.clocks().stepWallClock((this.random.nextBoolean() ? 1 : -1) * CLOCK_STEP_NANOS);
				affected.clocks().rate(1 + MAXIMUM_CLOCK_DRIFT * (this.random.nextDouble() * 2 - 1));
				schedule(durationNanos, () -> affected.clocks().rate(1));
			}
			case CLOCK_JUMPS -> jumpWallClock(affected, durationNanos);
			case SUSPENSION -> affected.suspend(this.random.nextLong(MAX_SUSPENSION_NANOS));
			case PAUSE -> affected.pause((200 + this.random.nextLong(2_800)) * NANOS_PER_MILLI);
		}
	}

	private void jumpWallClock(SimulatedReplica affected, long remainingNanos) {
		long jump = MIN_JUMP_NANOS + this.random.nextLong(MAX_JUMP_NANOS - MIN_JUMP_NANOS);
		affected.clocks().stepWallClock(this.random.nextBoolean() ? jump : -jump);
		long pause = MIN_JUMP_NANOS + this.random.nextLong(MAX_JUMP_PAUSE_NANOS - MIN_JUMP_NANOS);
		if (pause < remainingNanos) {
			schedule(pause, () -> jumpWallClock(affected, remainingNanos - pause));
		}
	}

	private void schedule(long nanos, Runnable action) {
		this.cluster.clock().schedule(nanos, action);
	}

	private void block(SimulatedReplica affected, boolean from, boolean to) {
		this.cluster.network().blockOutbound(affected.id(), from);
		this.cluster.network().blockInbound(affected.id(), to);
	}

	private void restartAfter(SimulatedReplica affected, long nanos) {
		affected.crash();
		schedule(nanos, () -> restart(affected));
	}

	private static void restart(SimulatedReplica affected) {
		if (!affected.alive()) {
			affected.start();
		}
	}

	private void loseDisk(SimulatedReplica affected) {
		if (!this.cluster.toleratesDiskLoss()) {
			return;
		}
		affected.crash();
		affected.replaceDisk();
		schedule((50 + this.random.nextLong(450)) * NANOS_PER_MILLI, () -> restart(affected));
	}

}
