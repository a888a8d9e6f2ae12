package review;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Tasks of priority 0 that last fill the fleet before a job of another account, within its guarantee, comes. */
final class GuaranteeTaken extends Scenario {

	private static final String LARGE = "00000000000000d1";

	private static final String GUARANTEED = "00000000000000d2";

	private static final String OTHER_KEY = "3hh2b9wu3fexd9dnn2ct";

	private static final double RECLAIM_S = 5.9;

	/** The seconds that the job gets beyond its bound, to tell a late start from none. */
	private static final long OBSERVED_S = 30;

	public static void main(String[] arguments) {
		run(new GuaranteeTaken(), arguments);
	}

	// Both accounts are guaranteed 20 of the 64 accelerators.
	@Override
	ObjectNode configuration(long version) {
		ObjectNode configuration = super.configuration(version);
		((ObjectNode) configuration.get("routes").get(0)).put("priority", 0);
		ArrayNode tenants = (ArrayNode) configuration.get("tenants");
		((ObjectNode) tenants.get(0).get("guaranteed")).put("gpu", 20);
		ObjectNode other = tenants.addObject().put("name", "tenant-2");
		other.putArray(Wire.KEYS).add(OTHER_KEY);
		other.put("priority", 1).putObject("guaranteed").put("gpu", 20);
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
		if (this.trouble) {
			this.key = OTHER_KEY;
			if (!submit(LARGE, new Jobs.Step(16, 20_000, 100_000, 4, false, true, 0), "",
					this.entries.getFirst())) {
				return CANNOT_RUN;
			}
			this.key = KEY;
			Thread.sleep(5000);
			this.recorder.write("tasks of tenant-2 that run: " + runs(LARGE).size());
		}
		if (!submit(GUARANTEED, new Jobs.Step(2, 20_000, 100_000, 4, false, false, 3000), "",
				this.entries.getFirst())) {
			return CANNOT_RUN;
		}
		double acknowledged = this.recorder.seconds();
		while (this.recorder.seconds() - acknowledged < OBSERVED_S && runs(GUARANTEED).size() < 2) {
			Thread.sleep(100);
		}
		String state = state(GUARANTEED, this.entries.getFirst());
		List<Executor.Run> runs = runs(GUARANTEED);
		double waited = ((runs.size() < 2) ? this.recorder.seconds() : runs.getLast().startedSeconds) - acknowledged;
		this.recorder.write("tenant-1 is guaranteed 20 accelerators and asked for 8; state " + state + ", tasks begun "
				+ runs.size() + " after " + waited + " s");
		return (waited > RECLAIM_S) ? BROKEN : HELD;
	}

}
