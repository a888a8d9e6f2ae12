package io.verbenatrack.scheduling.state;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import io.verbenatrack.model.GangShape;

/**
 * Computes the largest gang that the fleet could run if it were empty, and caches the
 * result until the fleet changes.
 */
public final class FleetCapacity {

	private final FleetState fleet;

	private final Map<Ratio, Integer> largestOfAll = new HashMap<>();

	private final Map<Ratio, Integer> largestOfUsable = new HashMap<>();

	private final Map<Integer, String> workerSummaries = new HashMap<>();

	/**
	 * Creates a cache that follows the changes of a fleet.
	 * @param fleet the fleet
	 */
	public FleetCapacity(FleetState fleet) {
		this.fleet = fleet;
		fleet.addListener(this::workerChanged);
	}

	private void workerChanged(WorkerRecord worker) {
		String summary = worker.phase() + worker.spec();
		if (!summary.equals(this.workerSummaries.put(worker.index(), summary))) {
			this.largestOfAll.clear();
			this.largestOfUsable.clear();
		}
	}

	/**
	 * Returns the size of the largest gang that would fit on the workers that ever
	 * announced themselves, whatever their state.
	 * @param shape the cores and memory required per accelerator
	 * @return the number of accelerators, 0 when no worker fits
	 */
	public int largestEver(GangShape shape) {
		return this.largestOfAll.computeIfAbsent(ratio(shape), (ratio) -> largest(shape, (worker) -> true));
	}

	/**
	 * Returns the size of the largest gang that would fit on the currently usable workers
	 * if they were empty.
	 * @param shape the cores and memory required per accelerator
	 * @return the number of accelerators, 0 when no worker fits
	 */
	public int largestNow(GangShape shape) {
		return this.largestOfUsable.computeIfAbsent(ratio(shape), (ratio) -> largest(shape, WorkerRecord::usable));
	}

	private static Ratio ratio(GangShape shape) {
		return new Ratio(shape.coresPerAccelerator(), shape.memoryGibPerAccelerator());
	}

	private int largest(GangShape shape, Predicate<WorkerRecord> included) {
		int largest = 0;
		for (RackRecord rack : this.fleet.racks()) {
			largest = Math.max(largest, largestIn(rack, shape, included));
		}
		return Math.min(largest, GangShape.MAXIMUM_ACCELERATORS);
	}

	private static int largestIn(RackRecord rack, GangShape shape, Predicate<WorkerRecord> included) {
		int largest = 0;
		int run = 0;
		for (int index = 0; index < rack.workers().size(); index++) {
			WorkerRecord worker = rack.workers().get(index);
			if (!included.test(worker)) {
				run = 0;
				continue;
			}
			boolean continues = index > 0 && rack.adjacentToPrevious(index);
			int whole = GangFit.wholeWorkerAccelerators(worker, shape);
			run = (whole > 0) ? whole + (continues ? run : 0) : 0;
			int onThisWorker = Math.min(onOneWorker(worker, shape), GangFit.MAXIMUM_ON_ONE_WORKER);
			largest = Math.max(largest, Math.max(run, onThisWorker));
		}
		return largest;
	}

	private static int onOneWorker(WorkerRecord worker, GangShape shape) {
		int byCores = worker.spec().cores() / Math.max(1, shape.coresPerAccelerator());
		int byMemory = worker.spec().memoryGib() / Math.max(1, shape.memoryGibPerAccelerator());
		int byCoresOrAll = (shape.coresPerAccelerator() > 0) ? byCores : Integer.MAX_VALUE;
		int byMemoryOrAll = (shape.memoryGibPerAccelerator() > 0) ? byMemory : Integer.MAX_VALUE;
		return Math.min(worker.spec().accelerators(), Math.min(byCoresOrAll, byMemoryOrAll));
	}

	private record Ratio(int coresPerAccelerator, int memoryGibPerAccelerator) {

	}

}
