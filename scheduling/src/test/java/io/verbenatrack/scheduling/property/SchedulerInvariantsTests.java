package io.verbenatrack.scheduling.property;

import java.util.function.Supplier;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.scheduling.Scheduler;
import io.verbenatrack.scheduling.baseline.EasyBackfillScheduler;
import io.verbenatrack.scheduling.baseline.FirstFitScheduler;
import io.verbenatrack.scheduling.policy.GuaranteeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks the scheduler invariants after every event of seeded random sequences.
 */
public class SchedulerInvariantsTests {

	private static final int EVENTS = 400;

	private static final int RECOVERY_ROUNDS = 4_000;

	private static final int WORKERS = 10;

	@DataProvider
	public Object[][] seeds() {
		Stream<Supplier<Scheduler>> policies = Stream.of(FirstFitScheduler::new, EasyBackfillScheduler::new,
				GuaranteeScheduler::new);
		return policies
			.flatMap((policy) -> LongStream.rangeClosed(1, 40).mapToObj((seed) -> new Object[] { policy, seed }))
			.toArray(Object[][]::new);
	}

	@DataProvider
	public Object[][] guaranteeSeeds() {
		return LongStream.rangeClosed(101, 140).mapToObj((seed) -> new Object[] { seed }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "seeds")
	public void everyInvariantHoldsAfterEveryEvent(Supplier<Scheduler> policy, long seed) {
		RandomEvents events = new RandomEvents(seed, WORKERS, policy.get(), policy.get());
		play(events, seed, () -> events.play(EVENTS));
	}

	@Test(dataProvider = "guaranteeSeeds")
	public void allGuaranteesCanBeUsedAtOnceAfterEveryEvent(long seed) {
		RandomEvents events = new RandomEvents(seed, WORKERS, new GuaranteeScheduler(), new GuaranteeScheduler());
		events.afterEach((scheduler) -> GuaranteeChecker.check(scheduler.view()));
		play(events, seed, () -> events.play(EVENTS));
	}

	@Test(dataProvider = "seeds")
	public void everyAcceptedJobGetsItsOutcomeOnceTheFleetRecovers(Supplier<Scheduler> policy, long seed) {
		RandomEvents events = new RandomEvents(seed, WORKERS, policy.get(), policy.get());
		play(events, seed, () -> {
			events.play(EVENTS);
			assertThat(events.recover(RECOVERY_ROUNDS)).as("jobs without outcome: %s", events.unfinished()).isTrue();
		});
	}

	@Test(dataProvider = "seeds")
	public void restoredStateEqualsLeaderAndContinues(Supplier<Scheduler> policy, long seed) {
		RandomEvents events = new RandomEvents(seed, WORKERS, policy.get(), policy.get());
		play(events, seed, () -> {
			events.play(EVENTS);
			events.restore(policy.get());
			assertThat(events.leader().view()).isEqualTo(events.follower().view());
			assertThat(events.recover(RECOVERY_ROUNDS)).as("jobs without outcome: %s", events.unfinished()).isTrue();
		});
	}

	@Test(dataProvider = "seeds")
	public void followerEqualsLeaderAndTakesOver(Supplier<Scheduler> policy, long seed) {
		RandomEvents events = new RandomEvents(seed, WORKERS, policy.get(), policy.get());
		play(events, seed, () -> {
			events.play(EVENTS);
			assertThat(events.follower().view()).isEqualTo(events.leader().view());
			events.failOver();
			assertThat(events.recover(RECOVERY_ROUNDS)).as("jobs without outcome: %s", events.unfinished()).isTrue();
			assertThat(events.follower().view()).isEqualTo(events.leader().view());
		});
	}

	private static void play(RandomEvents events, long seed, Runnable sequence) {
		try {
			sequence.run();
		}
		catch (AssertionError | RuntimeException ex) {
			throw new AssertionError("Seed " + seed + "; last events:\n" + String.join("\n", events.trace()), ex);
		}
	}

}
