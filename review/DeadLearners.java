package review;

import java.util.List;

/**
 * A machine that was added for control is replaced four times. Then two of the first
 * machines lose their disks, one after the other has had its time to catch up.
 */
final class DeadLearners extends Scenario {

	private static final String JOB = "0000000000000a11";

	private static final int REPLACEMENTS = 4;

	/** A machine that is gone is followed by an empty one after this time. */
	private static final long REPLACE_MS = 1000;

	/** Longer than a start and the catch-up time of the pages, 4 s, together. */
	private static final long CATCH_UP_MS = 8000;

	private static final long DOWN_MS = 1000;

	private static final long RECOVERY_MS = 12_000;

	public static void main(String[] arguments) {
		run(new DeadLearners(), arguments);
	}

	@Override
	int play() throws Exception {
		if (!startSystem(1)) {
			return CANNOT_RUN;
		}
		for (int number = 1; number <= 8; number++) {
			executor(number, "a", (executor, task, run) -> -1);
		}
		Thread.sleep(1500);
		Deployment.Machine entry = this.entries.getFirst();
		if (!submit(JOB, new Jobs.Step(1, 5600, 29_000, 1, false, false, 2000), "", entry)) {
			return CANNOT_RUN;
		}
		Deployment.Machine added = add(4);
		Thread.sleep(CATCH_UP_MS);
		if (this.trouble) {
			for (int number = 0; number < REPLACEMENTS; number++) {
				this.deployment.kill(added);
				Thread.sleep(REPLACE_MS);
				added = add(5 + number);
				Thread.sleep(CATCH_UP_MS);
			}
		}
		for (Deployment.Machine machine : List.of(this.controls.get(1), this.controls.get(2))) {
			this.deployment.kill(machine);
			this.deployment.wipe(machine);
			this.deployment.settings(machine, this.controls, false);
			Thread.sleep(DOWN_MS);
			this.deployment.start(machine);
			Thread.sleep(CATCH_UP_MS);
		}
		Thread.sleep(RECOVERY_MS);
		boolean configured = configure(2, this.controls, 8);
		String state = state(JOB, entry);
		for (int tries = 0; tries < 3 && !state.equals("completed"); tries++) {
			Thread.sleep(500);
			state = state(JOB, entry);
		}
		this.recorder.write("all machines but those gone for good run; a configuration is acknowledged: " + configured
				+ "; state of the job: " + state);
		if (configured && state.equals("completed")) {
			return HELD;
		}
		return (!configured && !state.equals("completed")) ? BROKEN : CANNOT_RUN;
	}

	private Deployment.Machine add(int number) throws Exception {
		Deployment.Machine machine = this.deployment.add("core-" + number, 10 + number, true);
		this.deployment.settings(machine, this.controls, false);
		this.deployment.start(machine);
		return machine;
	}

}
