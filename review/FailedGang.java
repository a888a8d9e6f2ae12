package review;

import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One member of a gang that takes one place on every executor fails once. Small jobs of a
 * lower priority come after it.
 */
final class FailedGang extends Scenario {

	private static final String LARGE = "00000000000000f2";

	private static final String SMALL = "00000000000000f3";

	private static final String LARGE_PREFIX = "/q2/";

	private static final int EXECUTORS = 12;

	private static final String FAULTY = "i-12";

	private static final long FINISH_S = 14;

	/** How long the gang is watched further. */
	private static final double WATCHED_S = 60;

	public static void main(String[] arguments) {
		run(new FailedGang(), arguments);
	}

	@Override
	ObjectNode configuration(long version) {
		ObjectNode configuration = super.configuration(version);
		ArrayNode routes = (ArrayNode) configuration.get("routes");
		ObjectNode large = routes.get(0).deepCopy();
		large.put("name", "r-2").put(Wire.PATH_PREFIX, LARGE_PREFIX).put("priority", 1).put(Wire.LATENCY_MILLIS, 1500);
		large.put(Wire.ATTEMPTS, 2);
		routes.add(large);
		return configuration;
	}

	private long failsAfterMs(String executor, String task, int run) {
		return (this.trouble && executor.equals(FAULTY) && task.startsWith(LARGE) && run == 1) ? 2000 : -1;
	}

	@Override
	int play() throws Exception {
		if (!startSystem(1)) {
			return CANNOT_RUN;
		}
		for (int number = 1; number <= EXECUTORS; number++) {
			executor(number, "a", this::failsAfterMs);
		}
		Thread.sleep(1500);
		Deployment.Machine entry = this.entries.getFirst();
		this.prefix = LARGE_PREFIX;
		if (!submit(LARGE, new Jobs.Step(EXECUTORS, 26_000, 140_000, 8, true, false, 8500), "", entry)) {
			return CANNOT_RUN;
		}
		this.prefix = PREFIX;
		Thread.sleep(4000);
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
		boolean idle = running() == 0;
		this.recorder.write("state of the small job " + state + ", its runs " + runs(SMALL).size()
				+ ", runs of any job at work " + running());
		if (state.equals("completed")) {
			return HELD;
		}
		boolean broken = idle && runs(SMALL).isEmpty();
		while (this.recorder.seconds() < WATCHED_S) {
			Thread.sleep(1000);
		}
		this.prefix = LARGE_PREFIX;
		this.recorder.write("state of the gang " + state(LARGE, entry) + ", its runs of " + EXECUTORS + " members "
				+ runs(LARGE).size() + "; runs of the small job " + runs(SMALL).size());
		return broken ? BROKEN : CANNOT_RUN;
	}

	private long running() {
		List<String> jobs = List.of(LARGE, SMALL);
		return jobs.stream().flatMap((job) -> runs(job).stream()).filter((run) -> run.endedSeconds < 0).count();
	}

}
