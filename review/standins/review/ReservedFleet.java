package review;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A large gang that fits only on whole executors comes while a small task that lasts runs
 * on each of them. Small jobs of a lower priority come after it.
 */
final class ReservedFleet extends Scenario {

	private static final String LASTING = "00000000000000f1";

	private static final String LARGE = "00000000000000f2";

	private static final String SMALL = "00000000000000f3";

	private static final String LARGE_PREFIX = "/q2/";

	private static final long FINISH_S = 14;

	public static void main(String[] arguments) {
		run(new ReservedFleet(), arguments);
	}

	@Override
	ObjectNode configuration(long version) {
		ObjectNode configuration = super.configuration(version);
		ArrayNode routes = (ArrayNode) configuration.get("routes");
		ObjectNode large = routes.get(0).deepCopy();
		large.put("name", "r-2").put("pathPrefix", LARGE_PREFIX).put("priority", 1).put("targetLatencyMs", 1500);
		routes.add(large);
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
		if (!submit(LASTING, new Jobs.Step(8, 5600, 29_000, 1, false, true, 0, 1), "", entry)) {
			return CANNOT_RUN;
		}
		Thread.sleep(2000);
		this.recorder.write("tasks that last: " + runs(LASTING).size() + " of 8");
		if (this.trouble) {
			this.prefix = LARGE_PREFIX;
			if (!submit(LARGE, new Jobs.Step(8, 26_000, 140_000, 8, true, false, 60_000), "", entry)) {
				return CANNOT_RUN;
			}
			this.prefix = PREFIX;
			Thread.sleep(2000);
		}
		if (!submit(SMALL, new Jobs.Step(4, 5600, 29_000, 1, false, false, 3000), "", entry)) {
			return CANNOT_RUN;
		}
		// The end of the traffic: from here on the client only asks.
		Thread.sleep(FINISH_S * 1000);
		double asked = this.recorder.seconds();
		String state = state(SMALL, entry);
		while (this.recorder.seconds() - asked < 5) {
			Thread.sleep(1000);
			state = state(SMALL, entry);
		}
		List<Executor.Run> runs = runs(SMALL);
		this.recorder.write("state " + state + ", runs " + runs.size() + ", of 64 accelerators 8 are in use");
		if (state.equals("completed")) {
			return HELD;
		}
		return runs.isEmpty() ? BROKEN : CANNOT_RUN;
	}

}
