package secondreview;

import java.util.List;

/**
 * Jobs of many small tasks with long texts wait while the only executor is busy. Then an empty executor is added, which
 * has room for all of them.
 */
final class LargeAnswer {

	private static final int JOBS = 13;

	private static final int TASKS = 90;

	private static final int SPEC_BYTES = CaseRun.TROUBLE ? 4000 : 200;

	/** 1.8 jobs a second. */
	private static final int GAP_MILLIS = 550;

	private static final int FINISH_MILLIS = 14_000;

	private LargeAnswer() {
	}

	public static void main(String[] args) throws Exception {
		CaseRun.main(args[0], LargeAnswer::broken);
	}

	private static String id(int job) {
		return String.format("%016x", 0x5c0e7a21d94b3600L + job);
	}

	private static boolean broken(CaseRun run) throws Exception {
		run.startReplicas();
		run.startEntry(1);
		run.configure(CaseRun.configuration(1, List.<Object[]>of(new Object[] { "plans", "/plans/", 1, 4 }),
				CaseRun.tenant("kaje", "key-one")), 20_000);
		World world = new World(10_000, 1, 0, false);
		new SoundExecutor(run, world, "i-busy", 101).start();
		Thread.sleep(1000);
		run.submit(1, "/plans/00000000000000aa",
				"{\"steps\":[{\"count\":1,\"cpu\":64000,\"memMb\":64,\"estDurationMs\":10000}],\"spec\":\"plan\"}", 15_000);
		String spec = "x".repeat(SPEC_BYTES);
		for (int job = 0; job < JOBS; job++) {
			run.submit(1, "/plans/" + id(job), "{\"steps\":[{\"count\":" + TASKS
					+ ",\"cpu\":50,\"memMb\":64,\"estDurationMs\":10000}],\"spec\":\"" + spec + "\"}", 20_000);
			Thread.sleep(GAP_MILLIS);
		}
		run.record("platform", "adds an empty executor");
		new SoundExecutor(run, world, "i-added", 102).start();
		Thread.sleep(FINISH_MILLIS);
		int[] idle = new int[JOBS];
		for (int turn = 0; turn < 8; turn++) {
			for (int job = 0; job < JOBS; job++) {
				CaseRun.Response state = run.client(1, "GET", "/plans/" + id(job), null);
				boolean completed = state != null && state.status == 200 && state.body.contains("completed");
				idle[job] = (!completed && world.runningOfJob(id(job)) == 0) ? idle[job] + 1 : 0;
			}
			Thread.sleep(1000);
		}
		boolean lost = false;
		for (int job = 0; job < JOBS; job++) {
			if (idle[job] == 8) {
				lost = true;
				run.record("judge", "LOST: job " + id(job) + " has had " + world.startsOfJob(id(job))
						+ " starts, and for 7 s nothing of it ran while the executors were idle");
			}
		}
		return lost;
	}

}
