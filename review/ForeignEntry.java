package review;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** An entry of another writer, for a service that the pages do not name, beside executors at work. */
final class ForeignEntry extends Scenario {

	private static final String JOB = "00000000000000a1";

	public static void main(String[] arguments) {
		run(new ForeignEntry(), arguments);
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
		if (!submit(JOB, new Jobs.Step(1, 5600, 29000, 1, false, false, 14_000), "", this.entries.getFirst())) {
			return CANNOT_RUN;
		}
		for (int tries = 0; tries < 50 && runs(JOB).isEmpty(); tries++) {
			Thread.sleep(100);
		}
		if (runs(JOB).isEmpty()) {
			return CANNOT_RUN;
		}
		Thread.sleep(1500);
		String holder = runs(JOB).getFirst().executor;
		if (this.trouble) {
			sendForeignEntry(holder);
		}
		Thread.sleep(20_000);
		String state = state(JOB, this.entries.getFirst());
		List<Executor.Run> runs = runs(JOB);
		for (Executor.Run first : runs) {
			for (Executor.Run second : runs) {
				if (first.number < second.number && overlap(first, second)) {
					this.recorder.write("TWICE: run " + first.number + " on " + first.executor + " and run "
							+ second.number + " on " + second.executor + " at the same time, from "
							+ second.startedSeconds);
					return BROKEN;
				}
			}
		}
		return state.equals("completed") ? HELD : CANNOT_RUN;
	}

	// One heartbeat, with the id of the executor and a service that no configuration has.
	private void sendForeignEntry(String id) {
		Executor target = this.executors.stream()
			.filter((executor) -> executor.id.equals(id))
			.findFirst()
			.orElseThrow();
		ObjectNode body = Deployment.JSON.createObjectNode();
		body.put("service", "another-product").put("address", target.address()).put("zone", "zone-1");
		body.put("version", "v1").put("slots", 8).put("state", "ready").put("coldLeftMs", 0);
		body.put("born", System.currentTimeMillis());
		body.putObject("room").put("cpu", 16000).put(Wire.MEMORY_MB, 32768).put("gpu", 0);
		body.putArray("labels").add("a").add("r1-1");
		body.put("clockMs", 0).put(Wire.SEQUENCE_NUMBER, 1);
		for (Deployment.Machine machine : this.controls) {
			Http.Answer answer = this.http.call("PUT", this.deployment.control(machine),
					Wire.INSTANCES_PATH + id, Map.of("Content-Type", "application/json"), body.toString(),
					Duration.ofSeconds(1));
			this.recorder.write("another writer sends an entry " + body + " to " + machine.name + ": "
					+ answer.status() + " " + answer.body());
			if (answer.status() != 0 && answer.status() != 503) {
				return;
			}
		}
	}

}
