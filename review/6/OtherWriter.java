package secondreview;

import java.util.List;
import java.util.Map;

/** An entry of another writer, with fields missing and of other types, names the address of an executor at work. */
final class OtherWriter {

	private static final String JOB = "5c0e7a21d94b36f8";

	private OtherWriter() {
	}

	public static void main(String[] args) throws Exception {
		CaseRun.main(args[0], OtherWriter::broken);
	}

	private static boolean broken(CaseRun run) throws Exception {
		run.startReplicas();
		run.startEntry(1);
		run.configure(CaseRun.configuration(1, List.<Object[]>of(new Object[] { "plans", "/plans/", 1, 3 }),
				CaseRun.tenant("kaje", "key-one")), 20_000);
		World world = new World(5000, 1, 0, false);
		SoundExecutor one = new SoundExecutor(run, world, "i-one", 101).start();
		SoundExecutor two = new SoundExecutor(run, world, "i-two", 102).start();
		Thread.sleep(1000);
		run.submit(1, "/plans/" + JOB,
				"{\"spec\":\"plan\",\"steps\":[{\"count\":1,\"cpu\":26000,\"memMb\":1024,\"gpu\":1,\"estDurationMs\":5000}]}",
				15_000);
		String task = JOB + ".0.0.0";
		long end = run.nowMillis() + 10_000;
		while (world.starts(task) == 0) {
			if (run.nowMillis() > end) {
				throw new IllegalStateException("the task did not start");
			}
			Thread.sleep(20);
		}
		Thread.sleep(1000);
		SoundExecutor holder = one.works(task) ? one : two;
		if (CaseRun.TROUBLE) {
			// version and slots are of another type; coldLeftMs, clockMs and both lists are missing.
			String entry = "{\"service\":\"" + CaseRun.SERVICE + "\",\"address\":\"" + holder.address
					+ "\",\"zone\":\"zone-a\",\"version\":1,\"slots\":\"8\",\"state\":\"ready\",\"room\":{\"cpu\":64000,"
					+ "\"memMb\":262144,\"gpu\":8},\"labels\":[\"a\",\"r1-1\"],\"born\":" + System.currentTimeMillis()
					+ ",\"seqNo\":1}";
			CaseRun.Response response = run.follow(run.control(1), "PUT", CaseRun.wire("executors-path") + "w-other",
					Map.of(), entry, 1000);
			run.record("other", "PUT instances/w-other " + entry + " -> "
					+ ((response != null) ? response.status + " " + response.body : "no answer"));
		}
		Thread.sleep(9000);
		world.doubled().forEach((what) -> run.record("judge", "TWICE: " + what));
		run.client(1, "GET", "/plans/" + JOB, null);
		return !world.doubled().isEmpty();
	}

}
