package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the leader lease is exclusive and histories are linearizable while the wall
 * clocks of all replicas jump, some machines are suspended and the leader is cut off.
 */
public class ClockScheduleTests {

	/** More seeds are played by hand: control.seed and control.schedules.clocks. */
	private static final long FIRST_SEED = Long.getLong("control.seed", 1);

	private static final int SCHEDULES = Integer.getInteger("control.schedules.clocks", 200);

	private static final long FAULTS_START_NANOS = Duration.ofMillis(1500).toNanos();

	private static final long FAULTS_NANOS = Duration.ofSeconds(7).toNanos();

	private static final long MIN_PAUSE_NANOS = Duration.ofMillis(200).toNanos();

	private static final long MAX_PAUSE_NANOS = Duration.ofMillis(1200).toNanos();

	private static final long MAX_CUT_NANOS = Duration.ofMillis(2500).toNanos();

	@Test
	public void leasesAreExclusiveWhileClocksJumpAndMachinesAreSuspended() {
		List<String> violations = LongStream.range(FIRST_SEED, FIRST_SEED + SCHEDULES)
			.parallel()
			.boxed()
			.flatMap((seed) -> {
				Schedule schedule = new Schedule(seed, ScheduleSize.THREE_REPLICAS);
				return schedule.run(plan(seed))
					.violations()
					.stream()
					.map((violation) -> "seed " + seed + " " + violation);
			})
			.toList();
		assertThat(violations).isEmpty();
	}

	private static FaultPlan plan(long seed) {
		SplittableRandom random = new SplittableRandom(seed);
		int replicas = ScheduleSize.THREE_REPLICAS.replicas();
		List<FaultPlan.FaultGroup> groups = new ArrayList<>();
		groups.add(new FaultPlan.FaultGroup(FAULTS_START_NANOS,
				IntStream.range(0, replicas)
					.filter((replica) -> random.nextInt(4) > 0)
					.mapToObj((replica) -> new FaultPlan.Fault(FaultKind.CLOCK_JUMPS, replica, FAULTS_NANOS))
					.toList()));
		long start = FAULTS_START_NANOS;
		while (start < FAULTS_START_NANOS + FAULTS_NANOS) {
			start += MIN_PAUSE_NANOS + random.nextLong(MAX_PAUSE_NANOS - MIN_PAUSE_NANOS);
			FaultKind kind = List
				.of(FaultKind.PARTITION_BOTH, FaultKind.PARTITION_IN, FaultKind.SUSPENSION, FaultKind.CLOCK_STEP)
				.get(random.nextInt(4));
			groups.add(new FaultPlan.FaultGroup(start,
					List.of(new FaultPlan.Fault(kind, random.nextInt(replicas), random.nextLong(MAX_CUT_NANOS)))));
		}
		return new FaultPlan(groups);
	}

}
