package review;

import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The configuration grows by many routes and changes as often as on a long day. Then all
 * processes of control are killed at the same moment and started again within a second.
 */
final class RestartAfterChanges extends Scenario {

	private static final String JOB = "0000000000000a01";

	private static final int NEW_ROUTES = 1400;

	/** A storm is a change each 0.33 s for 4 s. */
	private static final int STORMS = 13;

	private static final int CHANGES_IN_STORM = 12;

	private static final long GAP_MS = 330;

	private static final long PAUSE_MS = 1000;

	private static final double LATEST_CHANGE_S = 80;

	/** The time that the platform needs to start a process again that ended. */
	private static final long RESTART_MS = 700;

	private static final long RECOVERY_S = 12;

	private long acknowledged = 1;

	public static void main(String[] arguments) {
		run(new RestartAfterChanges(), arguments);
	}

	// Each version changes the time-out of the first route.
	@Override
	ObjectNode configuration(long version) {
		ObjectNode configuration = super.configuration(version);
		ArrayNode routes = (ArrayNode) configuration.get("routes");
		ObjectNode first = (ObjectNode) routes.get(0);
		if (version > 1) {
			for (int number = 0; number < NEW_ROUTES; number++) {
				ObjectNode added = first.deepCopy();
				added.put("name", "r-idle%04d".formatted(number)).put("host", "idle%04d.example".formatted(number));
				added.put(Wire.PATH_PREFIX, "/idle%04d/".formatted(number));
				routes.add(added);
			}
		}
		first.put("timeoutMs", 3000 + version % 2 * 500);
		return configuration;
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
		long version = 2;
		change(version++);
		for (int storm = 0; storm < STORMS; storm++) {
			for (int change = 0; change < CHANGES_IN_STORM && this.recorder.seconds() < LATEST_CHANGE_S; change++) {
				double sent = this.recorder.seconds();
				change(version++);
				Thread.sleep(Math.max(0, GAP_MS - (long) ((this.recorder.seconds() - sent) * 1000)));
			}
			Thread.sleep(PAUSE_MS);
		}
		this.recorder.write((version - 2) + " changes sent, acknowledged up to " + this.acknowledged);
		if (this.acknowledged < version - 1) {
			return CANNOT_RUN;
		}
		if (this.trouble) {
			for (Deployment.Machine machine : this.controls) {
				this.deployment.settings(machine, this.controls, false);
				this.deployment.kill(machine);
			}
			Thread.sleep(RESTART_MS);
			for (Deployment.Machine machine : this.controls) {
				this.deployment.start(machine);
			}
		}
		int ends = keepRunning();
		boolean read = false;
		for (int tries = 0; tries < 6; tries++) {
			for (Deployment.Machine machine : this.controls) {
				Http.Answer answer = this.http.call("GET", this.deployment.control(machine), Wire.CONFIGURATION_PATH,
						Map.of(), null, Duration.ofSeconds(1));
				long held = answer.success() ? Deployment.JSON.readTree(answer.body()).path("version").asLong() : -1;
				this.recorder.write("operator reads the configuration at " + machine.name + ": " + answer.status()
						+ " version " + held);
				read |= held >= this.acknowledged;
			}
			Thread.sleep(500);
		}
		String state = state(JOB, entry);
		this.recorder.write("ends of control processes by themselves: " + ends + "; configuration read back: " + read
				+ "; state of the job: " + state);
		if (read && state.equals("completed")) {
			return HELD;
		}
		return (!read && !state.equals("completed")) ? BROKEN : CANNOT_RUN;
	}

	// Starts each process again that ends by itself, as the platform does.
	private int keepRunning() throws Exception {
		double until = this.recorder.seconds() + RECOVERY_S;
		int ends = 0;
		while (this.recorder.seconds() < until) {
			for (Deployment.Machine machine : this.controls) {
				if (!this.deployment.running(machine)) {
					ends++;
					this.recorder.write(machine.name + " ended by itself: " + this.deployment.log(machine)
						.stream()
						.filter((line) -> line.startsWith("java.lang."))
						.reduce((first, second) -> second)
						.orElse(""));
					Thread.sleep(RESTART_MS);
					this.deployment.start(machine);
				}
			}
			Thread.sleep(100);
		}
		return ends;
	}

	private void change(long version) {
		String body = configuration(version).toString();
		for (int tries = 0; tries < 3; tries++) {
			Deployment.Machine receiver = this.controls.get((int) ((version + tries) % this.controls.size()));
			Http.Answer answer = this.http.call("PUT", this.deployment.control(receiver), Wire.CONFIGURATION_PATH,
					Map.of("Content-Type", "application/json"), body, Duration.ofSeconds(2));
			this.recorder.write("operator sends configuration " + version + " of " + body.length() + " bytes to "
					+ receiver.name + ": " + answer.status());
			if (answer.success()) {
				this.acknowledged = version;
				return;
			}
		}
	}

}
