package io.verbenatrack.scheduling.baseline;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Slot;
import io.verbenatrack.scheduling.state.AcceleratorMask;
import io.verbenatrack.scheduling.state.FleetState;
import io.verbenatrack.scheduling.state.GangFit;
import io.verbenatrack.scheduling.state.RackRecord;
import io.verbenatrack.scheduling.state.WorkerRecord;

/**
 * A copy of the free capacity of each worker, on which placements and releases can be
 * tried.
 */
final class FreeSpace {

	private final FleetState fleet;

	private final long[] masks;

	private final int[] cores;

	private final int[] memoryGib;

	FreeSpace(FleetState fleet) {
		this.fleet = fleet;
		this.masks = fleet.workers().stream().mapToLong((worker) -> worker.usable() ? worker.freeMask() : 0).toArray();
		this.cores = fleet.workers().stream().mapToInt(WorkerRecord::freeCores).toArray();
		this.memoryGib = fleet.workers().stream().mapToInt(WorkerRecord::freeMemoryGib).toArray();
	}

	private FreeSpace(FreeSpace other) {
		this.fleet = other.fleet;
		this.masks = other.masks.clone();
		this.cores = other.cores.clone();
		this.memoryGib = other.memoryGib.clone();
	}

	FreeSpace copy() {
		return new FreeSpace(this);
	}

	void take(GangShape shape, GangPlacement placement) {
		placement.slots().forEach((slot) -> change(shape, slot, -1));
	}

	void release(GangShape shape, GangPlacement placement) {
		placement.slots().forEach((slot) -> change(shape, slot, 1));
	}

	private void change(GangShape shape, Slot slot, int sign) {
		WorkerRecord worker = this.fleet.worker(slot.worker()).orElseThrow();
		int index = worker.index();
		if (sign > 0 && worker.usable()) {
			this.masks[index] |= AcceleratorMask.of(slot);
		}
		if (sign < 0) {
			this.masks[index] &= ~AcceleratorMask.of(slot);
		}
		this.cores[index] += sign * slot.accelerators() * shape.coresPerAccelerator();
		this.memoryGib[index] += sign * slot.accelerators() * shape.memoryGibPerAccelerator();
	}

	// Returns the placement that leaves the least free capacity next to the gang.
	Optional<GangPlacement> bestFit(GangShape shape) {
		return GangFit.spansWorkers(shape) ? bestRun(shape) : bestSlot(shape);
	}

	private Optional<GangPlacement> bestSlot(GangShape shape) {
		WorkerRecord best = null;
		for (WorkerRecord worker : this.fleet.workers()) {
			boolean fits = AcceleratorMask.runStarts(this.masks[worker.index()], shape.accelerators()) != 0
					&& hasCoresAndMemory(worker, shape);
			if (fits && (best == null || free(worker) < free(best))) {
				best = worker;
			}
		}
		return Optional.ofNullable(best).map((worker) -> {
			int start = AcceleratorMask.bestStart(this.masks[worker.index()], shape.accelerators());
			return new GangPlacement(List.of(new Slot(worker.id(), start, shape.accelerators())));
		});
	}

	private boolean hasCoresAndMemory(WorkerRecord worker, GangShape shape) {
		return this.cores[worker.index()] >= shape.cores() && this.memoryGib[worker.index()] >= shape.memoryGib();
	}

	private Optional<GangPlacement> bestRun(GangShape shape) {
		List<WorkerRecord> best = List.of();
		for (RackRecord rack : this.fleet.racks()) {
			for (List<WorkerRecord> run : emptyRuns(rack, shape)) {
				boolean fits = run.stream().mapToInt(this::free).sum() >= shape.accelerators();
				if (fits && (best.isEmpty() || run.size() < best.size())) {
					best = run;
				}
			}
		}
		return best.isEmpty() ? Optional.empty() : Optional.of(onFirstWorkers(best, shape));
	}

	private List<List<WorkerRecord>> emptyRuns(RackRecord rack, GangShape shape) {
		List<List<WorkerRecord>> runs = new ArrayList<>();
		boolean inRun = false;
		for (int index = 0; index < rack.workers().size(); index++) {
			WorkerRecord worker = rack.workers().get(index);
			boolean empty = worker.spec().accelerators() > 0 && free(worker) == worker.spec().accelerators()
					&& GangFit.wholeWorkerAccelerators(worker, shape) > 0;
			if (empty && !(inRun && rack.adjacentToPrevious(index))) {
				runs.add(new ArrayList<>());
			}
			if (empty) {
				runs.getLast().add(worker);
			}
			inRun = empty;
		}
		return runs;
	}

	private static GangPlacement onFirstWorkers(List<WorkerRecord> run, GangShape shape) {
		int workers = 0;
		for (int covered = 0; covered < shape.accelerators(); workers++) {
			covered += run.get(workers).spec().accelerators();
		}
		return GangFit.acrossWorkers(run.subList(0, workers), shape);
	}

	private int free(WorkerRecord worker) {
		return Long.bitCount(this.masks[worker.index()]);
	}

}
