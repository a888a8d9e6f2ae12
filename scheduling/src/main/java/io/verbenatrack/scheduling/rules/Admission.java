package io.verbenatrack.scheduling.rules;

import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.scheduling.state.FleetCapacity;
import io.verbenatrack.scheduling.state.SchedulingState;

/**
 * Decides whether a new job is admitted. Jobs that can never run are refused, and jobs
 * that cannot run on the current fleet wait with a reason.
 */
public final class Admission {

	private Admission() {
	}

	/**
	 * Decides on a new job.
	 * @param state the state before the job
	 * @param capacity the largest gangs that the fleet could run
	 * @param job the job
	 * @return whether it is admitted
	 */
	public static Verdict decide(SchedulingState state, FleetCapacity capacity, JobSpec job) {
		if (state.declarations().account(job.account()).isEmpty()) {
			return new Refuse(new Problem(ProblemKind.INVALID, "No client account " + job.account() + " is declared.",
					"Declare the account or submit for another one."));
		}
		return decideOnShape(capacity, job, state.fleet().workers().isEmpty());
	}

	private static Verdict decideOnShape(FleetCapacity capacity, JobSpec job, boolean noWorkerKnown) {
		if (noWorkerKnown) {
			return new AdmitWaiting("No worker has announced itself yet.");
		}
		int wanted = job.shape().accelerators();
		int largestEver = capacity.largestEver(job.shape());
		if (wanted > largestEver) {
			return new Refuse(
					new Problem(ProblemKind.TOO_LARGE, tooLargeMessage(job.shape()), remedy(job.shape(), largestEver)));
		}
		int largestNow = capacity.largestNow(job.shape());
		if (wanted > largestNow) {
			return new AdmitWaiting("Only workers that are lost, draining or quarantined fit " + wanted
					+ " adjacent accelerators; the largest gang that fits now has " + largestNow + ".");
		}
		return new Admit();
	}

	private static String tooLargeMessage(GangShape shape) {
		return "No rack has " + shape.accelerators() + " adjacent accelerators with " + shape.coresPerAccelerator()
				+ " cores and " + shape.memoryGibPerAccelerator() + " GiB beside each.";
	}

	private static String remedy(GangShape shape, int largest) {
		if (largest > 0) {
			return "The largest gang with these cores and memory has " + largest + " accelerators: ask for that.";
		}
		return "No worker has " + shape.coresPerAccelerator() + " cores and " + shape.memoryGibPerAccelerator()
				+ " GiB for even one accelerator: ask for less beside each.";
	}

	/**
	 * The result of admission.
	 */
	public sealed interface Verdict {

	}

	/**
	 * The job is admitted.
	 */
	public record Admit() implements Verdict {

	}

	/**
	 * The job is admitted and cannot start before the fleet changes.
	 *
	 * @param reason the reason shown in views
	 */
	public record AdmitWaiting(String reason) implements Verdict {

	}

	/**
	 * The job can never run.
	 *
	 * @param problem the reason, with the largest shape that would fit
	 */
	public record Refuse(Problem problem) implements Verdict {

	}

}
