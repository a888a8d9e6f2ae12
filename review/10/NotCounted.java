package secondreview;

import java.util.ArrayList;
import java.util.List;

/** An executor crashes, and jobs arrive while the others have no room. */
final class NotCounted {

	private static final int EXECUTORS = 8;

	private static final int JOBS = 4;

	private static final String LONG_JOB = "3a0e7a21d94b36f0";

	/** visible_ms and 2 s more. */
	private static final int VISIBLE_MILLIS = 5000;

	private NotCounted() {
	}

	public static void main(String[] args) throws Exception {
		CaseRun.main(args[0], NotCounted::broken);
	}

	private static String id(int job) {
		return String.format("%016x", 0x3c0e7a21d94b3600L + job);
	}

	private static boolean broken(CaseRun run) throws Exception {
		run.startReplicas();
		run.startEntry(1);
		run.configure(CaseRun.configuration(1, List.<Object[]>of(new Object[] { "batch", "/batch/", 1, 4 },
				new Object[] { "plans", "/plans/", 1, 4 }), CaseRun.tenant("kaje", "key-one")), 20_000);
		World world = new World(30_000, 1, 0, false);
		List<SoundExecutor> executors = new ArrayList<>();
		for (int executor = 0; executor < EXECUTORS; executor++) {
			executors.add(new SoundExecutor(run, world, "i-" + executor, 101 + executor).start());
		}
		Thread.sleep(1500);
		run.submit(1, "/batch/" + LONG_JOB, "{\"spec\":\"plan\",\"steps\":[{\"count\":" + (EXECUTORS - 1)
				+ ",\"cpu\":26000,\"memMb\":1024,\"gpu\":8,\"estDurationMs\":30000}]}", 15_000);
		long end = run.nowMillis() + 10_000;
		while (world.runningOfJob(LONG_JOB) < EXECUTORS - 1) {
			if (run.nowMillis() > end) {
				throw new IllegalStateException("the tasks did not start");
			}
			Thread.sleep(20);
		}
		Thread.sleep(500);
		SoundExecutor free = executors.stream()
			.filter((executor) -> executor.idle())
			.findFirst()
			.orElseThrow();
		if (CaseRun.TROUBLE) {
			free.close();
			run.record(free.id, "crashes");
		}
		for (int job = 0; job < JOBS; job++) {
			run.submit(1, "/plans/" + id(job),
					"{\"spec\":\"plan\",\"steps\":[{\"count\":1,\"cpu\":5600,\"memMb\":1024,\"gpu\":2,\"estDurationMs\":30000}]}",
					15_000);
		}
		Thread.sleep(VISIBLE_MILLIS + 500);
		int wrong = 0;
		for (int question = 0; question < 10; question++) {
			int notBegun = 0;
			for (int job = 0; job < JOBS; job++) {
				notBegun += (world.startsOfJob(id(job)) == 0) ? 1 : 0;
			}
			CaseRun.Response state = run.client(1, "GET", "/plans/", null);
			if (state != null && state.status == 200) {
				long waiting = Json.number(Json.object(state.body), "waiting", -1);
				if (2 * waiting < notBegun) {
					wrong++;
					run.record("judge", "MIXED: waiting is " + waiting + ", and " + notBegun
							+ " jobs that were accepted over 5 s before have not begun");
				}
			}
			Thread.sleep(1000);
		}
		return wrong >= 5;
	}

}
