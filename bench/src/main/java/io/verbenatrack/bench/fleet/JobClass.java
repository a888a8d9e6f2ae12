package io.verbenatrack.bench.fleet;

import io.verbenatrack.fleet.model.Resources;

/**
 * A class of jobs with its queue.
 *
 * @param name the name of its queue
 * @param priority the priority of its queue
 * @param perSecond how many jobs arrive a second on an ordinary day
 * @param workMillis the mean run time of a task
 * @param workSpread the standard deviation of the logarithm of the run time
 * @param width the mean number of tasks in a step
 * @param mostTasks the largest number of tasks in a step
 * @param cpuMillis what a task needs in thousandths of a core
 * @param memoryMb what a task needs in MB
 * @param accelerators the accelerators that a task may need; each is drawn as often
 * @param gang whether the tasks work only together
 * @param rackShare the part of gangs that are sensitive to racks
 * @param checkpointShare the part of jobs that save checkpoints
 * @param stretch the objective's factor on the chain of work
 * @param latencyMillis what the objective allows besides
 * @param credit what a job of mean size earns in time
 * @param lateCredit what it earns late
 */
public record JobClass(String name, int priority, double perSecond, double workMillis, double workSpread, double width,
		int mostTasks, long cpuMillis, long memoryMb, int[] accelerators, boolean gang, double rackShare,
		double checkpointShare, double stretch, long latencyMillis, double credit, double lateCredit) {

	Resources room(int accelerators) {
		return new Resources(this.cpuMillis, this.memoryMb, accelerators);
	}

}
