package secondreview;

import java.util.List;

/** The runs of a gang that lasts fail as often as the route allows attempts, and more often. */
final class LastingGang {

	private static final String JOB = "00a1b2c3d4e5f607";

	private static final int ATTEMPTS = 2;

	private LastingGang() {
	}

	public static void main(String[] args) throws Exception {
		CaseRun.main(args[0], LastingGang::broken);
	}

	private static boolean broken(CaseRun run) throws Exception {
		run.startReplicas();
		run.startEntry(1);
		run.configure(CaseRun.configuration(1, List.<Object[]>of(new Object[] { "plans", "/plans/", 1, ATTEMPTS }),
				CaseRun.tenant("kaje", "key-one")), 20_000);
		World world = new World(1500, 2, CaseRun.TROUBLE ? ATTEMPTS : 0, true);
		new SoundExecutor(run, world, "i-one", 101).start();
		new SoundExecutor(run, world, "i-two", 102).start();
		Thread.sleep(1000);
		run.submit(1, "/plans/" + JOB, "{\"spec\":\"serve\",\"steps\":[{\"count\":2,\"cpu\":26000,\"memMb\":1024,\"gpu\":8,"
				+ "\"estDurationMs\":1500,\"gang\":true,\"longRunning\":true}]}", 15_000);
		boolean shownFailed = false;
		int idle = 0;
		for (int second = 0; second < 24; second++) {
			Thread.sleep(1000);
			CaseRun.Response state = run.client(1, "GET", "/plans/" + JOB, null);
			shownFailed |= state != null && state.status == 200 && state.body.contains("failed");
			idle = (world.runningOfJob(JOB) == 0) ? idle + 1 : 0;
		}
		if (shownFailed) {
			run.record("judge", "LOST: a job whose tasks last until it is cancelled is shown as failed");
		}
		if (idle > 7) {
			run.record("judge", "LOST: nothing of the job has run for " + idle + " s, with both executors idle");
		}
		return shownFailed || idle > 7;
	}

}
