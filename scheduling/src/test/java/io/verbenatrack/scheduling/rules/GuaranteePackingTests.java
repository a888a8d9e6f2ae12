package io.verbenatrack.scheduling.rules;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.testng.annotations.Test;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.Scenario;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.state.RegionKey;
import io.verbenatrack.scheduling.state.SchedulingState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link GuaranteePacking}.
 */
public class GuaranteePackingTests {

	@Test
	public void givesEveryGangARegionOfItsOwn() {
		GuaranteePacking.Packing packing = pack(10, account("a", 0, 64, 1), account("b", 0, 4, 4));
		assertThat(packing.missing()).isEmpty();
		Set<String> held = new HashSet<>();
		for (GangPlacement region : packing.regions().values()) {
			region.slots().forEach((slot) -> {
				for (int offset = 0; offset < slot.accelerators(); offset++) {
					assertThat(held.add(slot.worker() + "/" + (slot.firstAccelerator() + offset))).isTrue();
				}
			});
		}
		assertThat(held).hasSize(80);
	}

	@Test
	public void findsAPackingThatLargestFirstMisses() {
		AccountDeclaration account = Scenario.account("a", guarantee(4, 1), guarantee(3, 2), guarantee(2, 3));
		assertThat(pack(2, account).missing()).isEmpty();
	}

	@Test
	public void leavesOutTheAccountWithTheHighestDegradeOrder() {
		GuaranteePacking.Packing packing = pack(2, account("a", 9, 16, 1), account("b", 0, 8, 1));
		assertThat(packing.missing()).containsExactly(new RegionKey(new AccountId("a"), 0, 0));
	}

	@Test
	public void movesAnIdleRegionWhenALargerGangNeedsItsPlace() {
		SchedulingState state = state(4, account("a", 0, 4, 1), account("b", 0, 16, 1));
		state.apply(new SchedulingDecision.BindGuarantee(new AccountId("a"), 0, 0, one("w1")));
		state.apply(new SchedulingDecision.DrainWorker(new WorkerId("w3")));
		assertThat(GuaranteePacking.pack(state).missing()).isEmpty();
	}

	@Test
	public void doesNotExceedTheCoresOfAWorker() {
		GuaranteePacking.Packing packing = pack(1,
				Scenario.account("a", new Guarantee(new GangShape(4, 16, 1), 1), guarantee(4, 1)));
		assertThat(packing.missing()).hasSize(1);
	}

	private static GangPlacement one(String worker) {
		return new GangPlacement(List.of(new Slot(new WorkerId(worker), 0, 4)));
	}

	private static Guarantee guarantee(int accelerators, int count) {
		return new Guarantee(Scenario.shape(accelerators), count);
	}

	private static AccountDeclaration account(String id, int degradeOrder, int accelerators, int count) {
		return new AccountDeclaration(new AccountId(id), List.of(guarantee(accelerators, count)), 1, degradeOrder);
	}

	private static GuaranteePacking.Packing pack(int workers, AccountDeclaration... accounts) {
		return GuaranteePacking.pack(state(workers, accounts));
	}

	private static SchedulingState state(int workers, AccountDeclaration... accounts) {
		SchedulingState state = new SchedulingState();
		state.apply(new SchedulingDecision.AdoptDeclarations(
				new Declarations(FleetDefaults.STANDARD, List.of(accounts), List.of())));
		for (int number = 0; number < workers; number++) {
			state.apply(new SchedulingDecision.AdmitWorker(Scenario.worker(number)));
		}
		return state;
	}

}
