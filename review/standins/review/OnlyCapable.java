package review;

import java.util.List;

/** A run fails once on the only executor that has the label that its job needs. */
final class OnlyCapable extends Scenario {

	private static final String JOB = "00000000000000b1";

	/** The seconds after which jobs are asked for, of the pages. */
	private static final long FINISH_S = 14;

	public static void main(String[] arguments) {
		run(new OnlyCapable(), arguments);
	}

	@Override
	int play() throws Exception {
		if (!startSystem(1)) {
			return CANNOT_RUN;
		}
		for (int number = 1; number <= 8; number++) {
			executor(number, (number == 8) ? "b" : "a", (executor, task, run) -> (this.trouble
					&& executor.equals("i-8") && task.startsWith(JOB) && run == 1) ? 1000 : -1);
		}
		Thread.sleep(1500);
		if (!submit(JOB, new Jobs.Step(1, 5600, 29000, 1, false, false, 3000), "b", this.entries.getFirst())) {
			return CANNOT_RUN;
		}
		Thread.sleep(6000);
		// The end of the traffic: from here on the client only asks.
		Thread.sleep(FINISH_S * 1000);
		String state = state(JOB, this.entries.getFirst());
		double since = this.recorder.seconds();
		for (int tries = 0; tries < 8 && !state.equals("completed"); tries++) {
			Thread.sleep(1000);
			state = state(JOB, this.entries.getFirst());
			if (runs(JOB).stream().anyMatch((run) -> run.endedSeconds < 0)) {
				since = this.recorder.seconds();
			}
		}
		List<Executor.Run> runs = runs(JOB);
		this.recorder.write("state " + state + ", runs " + runs.size() + ", nothing ran for "
				+ (this.recorder.seconds() - since) + " s of " + (this.recorder.seconds()));
		if (state.equals("completed")) {
			return HELD;
		}
		boolean idle = this.recorder.seconds() - since >= 3;
		return (idle && runs.size() == 1 && runs.getFirst().how.equals("failed")) ? BROKEN : CANNOT_RUN;
	}

}
