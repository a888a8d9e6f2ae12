package io.verbenatrack.bench.fleet;

import io.verbenatrack.fleet.model.Resources;

/**
 * Job class and the parameters of its queue.
 *
 * @param name the name of its queue
 * @param priority the priority of its queue
 * @param perSecond the base arrival rate in jobs per second
 * @param workMillis the mean run time of a task in milliseconds
 * @param workSpread the standard deviation of the logarithm of the run time
 * @param width the mean number of tasks in a step
 * @param maximumTasks the largest number of tasks in a step
 * @param cpuMillis the CPU request of a task in thousandths of a core
 * @param memoryMb the memory request of a task in MB
 * @param accelerators the possible numbers of accelerators of a task, chosen with equal
 * probability
 * @param gang whether the tasks form a gang
 * @param rackShare the share of jobs that are rack-sensitive, from 0 to 1
 * @param checkpointShare the share of jobs that save checkpoints, from 0 to 1
 * @param stretch the factor of the completion objective on the longest task
 * @param latencyMillis the fixed part of the completion objective in milliseconds
 * @param credit the credit of a job of mean size that completes within its objective
 * @param lateCredit the credit of a job of mean size that completes late
 */
public record JobClass(String name, int priority, double perSecond, double workMillis, double workSpread, double width,
		int maximumTasks, long cpuMillis, long memoryMb, int[] accelerators, boolean gang, double rackShare,
		double checkpointShare, double stretch, long latencyMillis, double credit, double lateCredit) {

	Resources resources(int accelerators) {
		return new Resources(this.cpuMillis, this.memoryMb, accelerators);
	}

}
