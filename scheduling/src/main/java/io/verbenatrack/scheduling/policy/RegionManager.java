package io.verbenatrack.scheduling.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.Slot;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.rules.GuaranteePacking;
import io.verbenatrack.scheduling.state.AcceleratorMask;
import io.verbenatrack.scheduling.state.DecisionCollector;
import io.verbenatrack.scheduling.state.GangFit;
import io.verbenatrack.scheduling.state.GuaranteeRegions;
import io.verbenatrack.scheduling.state.RackRecord;
import io.verbenatrack.scheduling.state.RegionKey;
import io.verbenatrack.scheduling.state.SchedulingState;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * Assigns a region to each guaranteed gang and updates the regions when workers or
 * declarations change.
 */
final class RegionManager {

	private static final GangPlacement NO_REGION = new GangPlacement(List.of());

	private final SchedulingState state;

	RegionManager(SchedulingState state) {
		this.state = state;
	}

	// Packs all guarantees again and reports the guarantees that do not fit.
	void repack(DecisionCollector collector) {
		GuaranteePacking.Packing packing = GuaranteePacking.pack(this.state);
		List<RegionKey> before = List.copyOf(this.state.regions().keys());
		for (RegionKey key : before) {
			GangPlacement region = packing.regions().get(key);
			if (!this.state.regions().region(key).orElseThrow().equals(region)) {
				bind(key, NO_REGION, collector);
			}
		}
		packing.regions().forEach((key, region) -> {
			if (this.state.regions().region(key).isEmpty()) {
				bind(key, region, collector);
			}
		});
		reportShortages(packing, collector);
	}

	private void bind(RegionKey key, GangPlacement region, DecisionCollector collector) {
		collector.add(new SchedulingDecision.BindGuarantee(key.account(), key.guarantee(), key.gang(), region));
	}

	private void reportShortages(GuaranteePacking.Packing packing, DecisionCollector collector) {
		Map<AccountId, Map<GangShape, Integer>> counts = new TreeMap<>();
		for (RegionKey key : packing.missing()) {
			counts.computeIfAbsent(key.account(), (account) -> new TreeMap<>(RegionManager::compare))
				.merge(packing.shapes().get(key), 1, Integer::sum);
		}
		Set<AccountId> accounts = new HashSet<>(this.state.shortGuarantees().keySet());
		accounts.addAll(counts.keySet());
		for (AccountId account : accounts.stream().sorted().toList()) {
			List<Guarantee> missing = new ArrayList<>();
			counts.getOrDefault(account, Map.of()).forEach((shape, count) -> missing.add(new Guarantee(shape, count)));
			if (!missing.equals(this.state.shortGuarantees(account).orElse(List.of()))) {
				collector.add(new SchedulingDecision.ReportShortGuarantee(account, missing));
			}
		}
	}

	private static int compare(GangShape first, GangShape second) {
		int order = Integer.compare(second.accelerators(), first.accelerators());
		return (order != 0) ? order : first.toString().compareTo(second.toString());
	}

	/**
	 * Moves an idle region to accelerators that its account uses or is about to use, so
	 * that this work is within the guarantee. The new region does not overlap any other
	 * region.
	 * @param idle a region in which its account has no work
	 * @param toCover the accelerators to cover
	 * @param collector the collector of decisions
	 * @return whether the region covers the accelerators now
	 */
	boolean move(RegionKey idle, GangPlacement toCover, DecisionCollector collector) {
		Optional<GangPlacement> place = GangFit.spansWorkers(shape(idle)) ? runCovering(idle, toCover)
				: slotCovering(idle, toCover);
		place.ifPresent((region) -> bind(idle, region, collector));
		return place.isPresent();
	}

	// Returns the accelerators of a worker that an idle region must not be moved to.
	long unavailableTo(RegionKey idle, WorkerRecord worker) {
		if (GangFit.spansWorkers(shape(idle)) && !mayTakeWhole(idle, worker)) {
			return -1L;
		}
		long unavailable = 0;
		for (Map.Entry<RegionKey, Slot> entry : this.state.regions().slotsOn(worker.id()).entrySet()) {
			unavailable |= entry.getKey().equals(idle) ? 0 : AcceleratorMask.of(entry.getValue());
		}
		return unavailable;
	}

	private boolean mayTakeWhole(RegionKey idle, WorkerRecord worker) {
		Set<RegionKey> regionsThere = this.state.regions().slotsOn(worker.id()).keySet();
		boolean others = regionsThere.stream().anyMatch((key) -> !key.equals(idle));
		return worker.usable() && !others && GangFit.wholeWorkerAccelerators(worker, shape(idle)) > 0;
	}

	private Optional<GangPlacement> runCovering(RegionKey idle, GangPlacement toCover) {
		WorkerRecord first = this.state.fleet().worker(toCover.slots().getFirst().worker()).orElseThrow();
		RackRecord rack = this.state.fleet().rackOf(first);
		List<WorkerRecord> workers = rack.workers();
		for (int start = 0; start < workers.size(); start++) {
			int covered = 0;
			int end = start;
			while (end < workers.size() && covered < shape(idle).accelerators() && mayTakeWhole(idle, workers.get(end))
					&& (end == start || rack.adjacentToPrevious(end))) {
				covered += workers.get(end).spec().accelerators();
				end++;
			}
			if (covered >= shape(idle).accelerators()) {
				GangPlacement region = GangFit.acrossWorkers(workers.subList(start, end), shape(idle));
				if (GuaranteeRegions.contains(region, toCover)) {
					return Optional.of(region);
				}
			}
		}
		return Optional.empty();
	}

	private Optional<GangPlacement> slotCovering(RegionKey idle, GangPlacement toCover) {
		Slot slot = toCover.slots().getFirst();
		WorkerRecord worker = this.state.fleet().worker(slot.worker()).orElseThrow();
		if (toCover.slots().size() != 1 || !worker.usable() || !hasCoresAndMemory(worker, idle)) {
			return Optional.empty();
		}
		long available = AcceleratorMask.first(worker.spec().accelerators()) & ~unavailableTo(idle, worker);
		int length = shape(idle).accelerators();
		return startCovering(available, length, slot)
			.map((start) -> new GangPlacement(List.of(new Slot(worker.id(), start, length))));
	}

	private boolean hasCoresAndMemory(WorkerRecord worker, RegionKey idle) {
		int cores = worker.spec().cores();
		int memoryGib = worker.spec().memoryGib();
		for (Map.Entry<RegionKey, Slot> entry : this.state.regions().slotsOn(worker.id()).entrySet()) {
			if (!entry.getKey().equals(idle)) {
				cores -= entry.getValue().accelerators() * shape(entry.getKey()).coresPerAccelerator();
				memoryGib -= entry.getValue().accelerators() * shape(entry.getKey()).memoryGibPerAccelerator();
			}
		}
		return cores >= shape(idle).cores() && memoryGib >= shape(idle).memoryGib();
	}

	private GangShape shape(RegionKey key) {
		return this.state.declarations().account(key.account()).orElseThrow().guarantees().get(key.guarantee()).shape();
	}

	private static Optional<Integer> startCovering(long available, int length, Slot toCover) {
		long starts = AcceleratorMask.runStarts(available, length);
		while (starts != 0) {
			int start = Long.numberOfTrailingZeros(starts);
			long candidate = AcceleratorMask.first(length) << start;
			if ((AcceleratorMask.of(toCover) & ~candidate) == 0) {
				return Optional.of(start);
			}
			starts &= starts - 1;
		}
		return Optional.empty();
	}

}
