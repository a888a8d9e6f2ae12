package io.verbenatrack.scheduling.admission;

import java.util.ArrayList;
import java.util.List;

import org.testng.annotations.Test;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link SmallestConflict} on a fleet of two racks of eight workers.
 */
public class SmallestConflictTests {

	private static final GuaranteePacker PACKER = new FleetPacker(fleet());

	@Test
	public void guaranteesThatFillTheFleetDoNotConflict() {
		assertThat(SmallestConflict.find(List.of(account("a", 64), account("b", 32, 32)), PACKER)).isEmpty();
	}

	@Test
	public void reportsAGuaranteeThatNeverFitsOnItsOwn() {
		AccountDeclaration oversized = new AccountDeclaration(new AccountId("greedy"),
				List.of(new Guarantee(new GangShape(8, 4, 512), 1)), 1, 0);
		GuaranteeConflict conflict = SmallestConflict
			.find(List.of(account("a", 64), oversized, account("b", 8)), PACKER)
			.orElseThrow();
		assertThat(conflict.members()).singleElement()
			.extracting((member) -> member.account().value())
			.isEqualTo("greedy");
		assertThat(conflict.smallest()).isTrue();
		assertThat(conflict.problem().message()).contains("greedy 1 x 8 accelerators");
	}

	@Test
	public void findsASmallerSetThanTheDeletionFilter() {
		List<AccountDeclaration> accounts = List.of(account("a", 64, 64), account("b", 64), account("c", 16, 16, 16));
		GuaranteeConflict conflict = SmallestConflict.find(accounts, PACKER).orElseThrow();
		assertThat(conflict.members()).hasSize(3);
		AccountDeclaration pair = new AccountDeclaration(new AccountId("p"),
				List.of(new Guarantee(new GangShape(64, 4, 16), 2)), 1, 0);
		GuaranteeConflict two = SmallestConflict.find(List.of(pair, account("c", 16, 16), account("b", 64)), PACKER)
			.orElseThrow();
		assertThat(two.members()).hasSize(2);
		assertThat(two.smallest()).isTrue();
	}

	@Test
	public void freeAcceleratorsInDifferentRacksDoNotCombine() {
		List<AccountDeclaration> accounts = List.of(account("a", 40), account("b", 40), account("c", 40));
		GuaranteeConflict conflict = SmallestConflict.find(accounts, PACKER).orElseThrow();
		assertThat(conflict.members()).hasSize(3);
	}

	@Test
	public void reportsThatTheSearchReachedItsLimit() {
		List<AccountDeclaration> accounts = new ArrayList<>();
		for (int i = 0; i < 60; i++) {
			accounts.add(account("a" + i, 1));
		}
		GuaranteeConflict conflict = SmallestConflict.find(accounts, (some) -> some.size() < 30).orElseThrow();
		assertThat(conflict.members()).hasSize(30);
		assertThat(conflict.smallest()).isFalse();
	}

	private static AccountDeclaration account(String id, int... accelerators) {
		List<Guarantee> guarantees = new ArrayList<>();
		for (int count : accelerators) {
			guarantees.add(new Guarantee(new GangShape(count, 4, 16), 1));
		}
		return new AccountDeclaration(new AccountId(id), guarantees, 1, 0);
	}

	private static List<WorkerSpec> fleet() {
		List<WorkerSpec> workers = new ArrayList<>();
		for (int number = 0; number < 16; number++) {
			workers.add(new WorkerSpec(new WorkerId("w-" + number), new ZoneId("z"), new RackId("r-" + number / 8),
					number % 8, 64, 256, 8));
		}
		return workers;
	}

}
