package io.verbenatrack.scheduling.property;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.scheduling.SchedulingEvent;
import io.verbenatrack.scheduling.policy.GuaranteeScheduler;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Compares the packing of guarantees with an exhaustive search on small fleets.
 */
public class GuaranteePackingAgreesWithExhaustiveSearchTests {

	private static final int[] GANGS = { 2, 3, 4, 5, 6, 8, 16 };

	private static final int RACK_SIZE = 2;

	@DataProvider
	public Object[][] seeds() {
		return LongStream.rangeClosed(1001, 1120).mapToObj((seed) -> new Object[] { seed }).toArray(Object[][]::new);
	}

	@Test(dataProvider = "seeds")
	public void shortagesAreReportedOnlyWhenNoPackingExists(long seed) {
		Random random = new Random(seed);
		GuaranteeScheduler scheduler = new GuaranteeScheduler();
		Declarations declarations = declarations(random);
		scheduler.decide(new SchedulingEvent.DeclarationsInForce(declarations), Instant.EPOCH);
		int workers = random.nextInt(2, 6);
		for (int number = 0; number < workers; number++) {
			scheduler.decide(new SchedulingEvent.WorkerAnnounced(worker(number)), Instant.EPOCH.plusSeconds(number));
			try {
				GuaranteeChecker.check(scheduler.view());
			}
			catch (AssertionError ex) {
				throw new AssertionError("Seed " + seed + ", " + (number + 1) + " workers, " + declarations, ex);
			}
		}
	}

	@Test
	public void exhaustiveSearchDistinguishesFullFromOverfull() {
		GangShape whole = new GangShape(16, 8, 32);
		ExhaustivePacker packer = new ExhaustivePacker(List.of(worker(0), worker(1), worker(2)));
		assertThat(packer.packs(List.of(new GangShape(8, 8, 32), whole))).isTrue();
		assertThat(packer.packs(List.of(new GangShape(1, 8, 32), new GangShape(8, 8, 32), whole))).isFalse();
		assertThat(packer.packs(List.of(whole, whole))).isFalse();
	}

	private static Declarations declarations(Random random) {
		List<AccountDeclaration> accounts = new ArrayList<>();
		for (int account = 0; account < 3; account++) {
			int gang = GANGS[random.nextInt(GANGS.length)];
			GangShape shape = new GangShape(gang, random.nextInt(1, 9), random.nextInt(1, 33));
			Guarantee guarantee = new Guarantee(shape, random.nextInt(1, 3));
			accounts.add(new AccountDeclaration(new AccountId("a-" + account), List.of(guarantee), 1, account));
		}
		return new Declarations(FleetDefaults.STANDARD, accounts, List.of());
	}

	private static WorkerSpec worker(int number) {
		return new WorkerSpec(new WorkerId("w-" + number), new ZoneId("z"), new RackId("r-" + number / RACK_SIZE),
				number % RACK_SIZE, 64, 256, 8);
	}

}
