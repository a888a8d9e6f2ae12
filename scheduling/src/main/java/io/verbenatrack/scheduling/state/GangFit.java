package io.verbenatrack.scheduling.state;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Slot;

/**
 * The placement constraints of gangs: up to 8 accelerators lie adjacent on one worker,
 * larger gangs take whole adjacent workers of one rack.
 */
public final class GangFit {

	/** The size in accelerators up to which a gang must lie on one worker. */
	public static final int MAXIMUM_ON_ONE_WORKER = 8;

	private GangFit() {
	}

	/**
	 * Returns whether the gang takes whole workers.
	 * @param shape the gang
	 * @return whether it is too large for one worker
	 */
	public static boolean spansWorkers(GangShape shape) {
		return shape.accelerators() > MAXIMUM_ON_ONE_WORKER;
	}

	/**
	 * Returns whether a worker has the free cores and memory for part of a gang.
	 * @param worker the worker
	 * @param shape the gang
	 * @param accelerators the number of the gang's accelerators on this worker
	 * @return whether cores and memory suffice
	 */
	public static boolean hasCoresAndMemory(WorkerRecord worker, GangShape shape, int accelerators) {
		return worker.freeCores() >= accelerators * shape.coresPerAccelerator()
				&& worker.freeMemoryGib() >= accelerators * shape.memoryGibPerAccelerator();
	}

	/**
	 * Returns how many accelerators of an empty worker the gang can use, by the capacity
	 * that the worker announced.
	 * @param worker the worker
	 * @param shape the gang
	 * @return all accelerators of the worker, or 0 when its cores or memory do not
	 * suffice for them
	 */
	public static int wholeWorkerAccelerators(WorkerRecord worker, GangShape shape) {
		int accelerators = Math.min(worker.spec().accelerators(), AcceleratorMask.MAXIMUM_ACCELERATORS);
		boolean fits = worker.spec().cores() >= accelerators * shape.coresPerAccelerator()
				&& worker.spec().memoryGib() >= accelerators * shape.memoryGibPerAccelerator();
		return fits ? accelerators : 0;
	}

	/**
	 * Returns whether the gang can take the whole worker now.
	 * @param worker the worker
	 * @param shape the gang
	 * @return whether it is usable, empty and large enough
	 */
	public static boolean canTakeWholeWorker(WorkerRecord worker, GangShape shape) {
		return worker.usable() && worker.empty() && wholeWorkerAccelerators(worker, shape) > 0;
	}

	/**
	 * Returns the first placement that fits a gang in a rack.
	 * @param rack the rack
	 * @param shape the gang
	 * @return the placement, without slots when there is none
	 */
	public static GangPlacement firstFit(RackRecord rack, GangShape shape) {
		return spansWorkers(shape) ? firstRun(rack, shape) : firstSlot(rack, shape);
	}

	private static GangPlacement firstSlot(RackRecord rack, GangShape shape) {
		for (WorkerRecord worker : rack.workers()) {
			long starts = AcceleratorMask.runStarts(worker.freeMask(), shape.accelerators());
			if (starts != 0 && worker.usable() && hasCoresAndMemory(worker, shape, shape.accelerators())) {
				int start = Long.numberOfTrailingZeros(starts);
				return new GangPlacement(List.of(new Slot(worker.id(), start, shape.accelerators())));
			}
		}
		return new GangPlacement(List.of());
	}

	private static GangPlacement firstRun(RackRecord rack, GangShape shape) {
		List<WorkerRecord> run = new ArrayList<>();
		int covered = 0;
		for (int index = 0; index < rack.workers().size(); index++) {
			WorkerRecord worker = rack.workers().get(index);
			if (!canTakeWholeWorker(worker, shape) || (index > 0 && !rack.adjacentToPrevious(index))) {
				run.clear();
				covered = 0;
			}
			if (canTakeWholeWorker(worker, shape)) {
				run.add(worker);
				covered += wholeWorkerAccelerators(worker, shape);
			}
			if (covered >= shape.accelerators()) {
				return acrossWorkers(run, shape);
			}
		}
		return new GangPlacement(List.of());
	}

	/**
	 * Returns the placement of a gang on adjacent workers. All but the last are used in
	 * full.
	 * @param workers the workers in the order of their position
	 * @param shape the gang
	 * @return the placement
	 */
	public static GangPlacement acrossWorkers(List<WorkerRecord> workers, GangShape shape) {
		List<Slot> slots = new ArrayList<>(workers.size());
		int left = shape.accelerators();
		for (WorkerRecord worker : workers) {
			int taken = Math.min(left, worker.spec().accelerators());
			slots.add(new Slot(worker.id(), 0, taken));
			left -= taken;
		}
		return new GangPlacement(slots);
	}

	/**
	 * Returns how many free accelerators of a rack gangs of one shape could use at the
	 * same time.
	 * @param rack the rack
	 * @param shape the gang
	 * @return the number of accelerators
	 */
	public static int usableAccelerators(RackRecord rack, GangShape shape) {
		return spansWorkers(shape) ? usableInRuns(rack, shape) : usableInSlots(rack, shape);
	}

	private static int usableInSlots(RackRecord rack, GangShape shape) {
		int usable = 0;
		for (WorkerRecord worker : rack.workers()) {
			long mask = worker.usable() ? worker.freeMask() : 0;
			long starts = AcceleratorMask.runStarts(mask, shape.accelerators());
			while (starts != 0) {
				usable += shape.accelerators();
				int start = Long.numberOfTrailingZeros(starts);
				mask &= ~(AcceleratorMask.first(shape.accelerators()) << start);
				starts = AcceleratorMask.runStarts(mask, shape.accelerators());
			}
		}
		return usable;
	}

	private static int usableInRuns(RackRecord rack, GangShape shape) {
		int usable = 0;
		int covered = 0;
		for (int index = 0; index < rack.workers().size(); index++) {
			WorkerRecord worker = rack.workers().get(index);
			boolean continues = index == 0 || rack.adjacentToPrevious(index);
			covered = continues ? covered : 0;
			covered = canTakeWholeWorker(worker, shape) ? covered + wholeWorkerAccelerators(worker, shape) : 0;
			if (covered >= shape.accelerators()) {
				usable += shape.accelerators();
				covered = 0;
			}
		}
		return usable;
	}

}
