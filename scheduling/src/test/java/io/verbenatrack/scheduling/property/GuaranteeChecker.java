package io.verbenatrack.scheduling.property;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Set;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.scheduling.SchedulingView;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks on a view that all guarantees can be used at the same time, and that guarantees
 * are reported as short only if they do not all fit.
 */
final class GuaranteeChecker {

	private static final Set<String> USABLE_PHASES = Set.of("ready", "probation");

	private GuaranteeChecker() {
	}

	static void check(SchedulingView view) {
		List<WorkerSpec> usable = view.workers()
			.stream()
			.filter((worker) -> USABLE_PHASES.contains(worker.phase()))
			.map(SchedulingView.WorkerView::worker)
			.toList();
		ExhaustivePacker allRegions = new ExhaustivePacker(usable);
		ExhaustivePacker usedRegions = new ExhaustivePacker(usable);
		List<GangShape> movable = new ArrayList<>();
		for (SchedulingView.AccountView account : view.accounts()) {
			List<GangShape> remaining = gangs(account.guaranteed());
			for (GangPlacement region : account.regions()) {
				GangShape shape = remaining.stream()
					.filter((gang) -> gang.accelerators() == region.accelerators())
					.findFirst()
					.orElseThrow(() -> new AssertionError("Region without a guarantee: " + region));
				remaining.remove(shape);
				assertThat(allRegions.take(shape, region.slots()))
					.as("region is disjoint from others and fits: %s", region)
					.isTrue();
				if (isUsed(view, account, region)) {
					usedRegions.take(shape, region.slots());
				}
				else {
					movable.add(shape);
				}
			}
			assertThat(remaining).as("gangs without a region of %s", account.account())
				.containsExactlyInAnyOrderElementsOf(gangs(account.missing()));
			movable.addAll(remaining);
		}
		boolean isShort = view.accounts().stream().anyMatch((account) -> !account.missing().isEmpty());
		assertThat(isShort && usedRegions.packs(movable)).as("shortage reported although all guarantees fit").isFalse();
	}

	private static boolean isUsed(SchedulingView view, SchedulingView.AccountView account, GangPlacement region) {
		return view.jobs()
			.stream()
			.filter((job) -> job.job().account().equals(account.account()) && job.placement().isPresent())
			.anyMatch((job) -> job.placement().get().slots().stream().allMatch((slot) -> covers(region, slot)));
	}

	private static boolean covers(GangPlacement region, Slot slot) {
		return region.slots()
			.stream()
			.anyMatch((part) -> part.worker().equals(slot.worker())
					&& part.firstAccelerator() <= slot.firstAccelerator()
					&& part.firstAccelerator() + part.accelerators() >= slot.firstAccelerator() + slot.accelerators());
	}

	private static List<GangShape> gangs(List<Guarantee> guarantees) {
		List<GangShape> gangs = new ArrayList<>();
		guarantees.forEach((each) -> gangs.addAll(Collections.nCopies(each.count(), each.shape())));
		return gangs;
	}

}
