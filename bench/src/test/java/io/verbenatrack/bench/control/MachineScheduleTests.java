package io.verbenatrack.bench.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the control log while its machines change: voters are replaced for good, machines
 * are added, seeds change, disks are lost and all lose power at once. A seed always gives
 * the same schedule.
 */
public class MachineScheduleTests {

	/** More seeds are played by hand: control.seed and control.schedules.machines. */
	private static final long FIRST_SEED = Long.getLong("control.seed", 1);

	private static final int SCHEDULES = Integer.getInteger("control.schedules.machines", 30);

	private static final int THREADS = Integer.getInteger("control.threads", 2);

	// Guards against an end that was committed and that a later leader does not hold.
	@Test
	public void laterLeadersHoldCommittedEntriesWhileThreeVotersAreReplaced() throws Exception {
		play(ScheduleSize.THREE_REPLACED);
	}

	// Guards against the same loss while two disks may be lost at once.
	@Test
	public void laterLeadersHoldCommittedEntriesWhileFiveVotersAreReplaced() throws Exception {
		play(ScheduleSize.FIVE_REPLACED);
	}

	// Guards against a log without a leader for good after one of three voters was lost
	// while
	// another one restarted.
	@Test
	public void threeVotersElectALeaderAfterALossDuringARestart() {
		assertThat(play(295, ScheduleSize.THREE_REPLACED).result().violations()).isEmpty();
	}

	// Guards against the same while one of five voters is cut off.
	@Test
	public void fiveVotersElectALeaderAfterLossesDuringACut() {
		assertThat(play(55, ScheduleSize.FIVE_REPLACED).result().violations()).isEmpty();
	}

	@Test
	public void sameSeedGivesTheSameResult() {
		assertThat(play(7, ScheduleSize.THREE_REPLACED).result())
			.isEqualTo(play(7, ScheduleSize.THREE_REPLACED).result());
	}

	private static void play(ScheduleSize shape) throws InterruptedException, ExecutionException {
		List<Future<Played>> futures = new ArrayList<>();
		try (ExecutorService executor = Executors.newFixedThreadPool(THREADS)) {
			for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
				long playedSeed = seed;
				futures.add(executor.submit(() -> play(playedSeed, shape)));
			}
		}
		List<Played> played = new ArrayList<>();
		for (Future<Played> future : futures) {
			played.add(future.get());
		}
		int losses = played.stream().mapToInt(Played::losses).sum();
		int replacements = played.stream().mapToInt(Played::replacements).sum();
		System.out.println("control machine schedules of " + shape.replicas() + ": seeds " + FIRST_SEED + " to "
				+ (FIRST_SEED + SCHEDULES - 1) + ", " + losses + " disks of voters lost, " + replacements
				+ " voters replaced, " + played.stream().mapToLong((one) -> one.result().terms()).sum() + " terms, "
				+ played.stream().mapToLong((one) -> one.result().committedEntries()).sum() + " entries, "
				+ played.stream().mapToInt((one) -> one.result().openVerdicts()).sum() + " open verdicts");
		List<String> broken = played.stream()
			.filter((one) -> !one.result().violations().isEmpty())
			.map((one) -> "seed " + one.result().seed() + ": " + one.result().violations())
			.toList();
		played.stream()
			.filter((one) -> !one.result().violations().isEmpty())
			.findFirst()
			.ifPresent((one) -> System.out.println("shortest steps of seed " + one.result().seed() + ": "
					+ MachineSchedule.shrink(one.result().seed(), shape)));
		assertThat(broken).isEmpty();
		assertThat(played).as("histories too hard to check")
			.allSatisfy((one) -> assertThat(one.result().openVerdicts()).isZero());
		assertThat(losses).as("disks of voters lost").isGreaterThan(SCHEDULES);
		assertThat(replacements).as("voters replaced").isPositive();
	}

	private static Played play(long seed, ScheduleSize shape) {
		MachineSchedule schedule = new MachineSchedule(seed, shape, MachineSchedule.steps(seed));
		return new Played(schedule.run(), schedule.losses(), schedule.replacements());
	}

	private record Played(ScheduleResult result, int losses, int replacements) {

	}

}
