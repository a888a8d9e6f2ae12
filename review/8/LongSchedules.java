package secondreview;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Teams hand in scheduled jobs that run twice a minute for a week, or for a day. */
final class LongSchedules {

	private static final int JOBS = 90;

	/** A week, and a day of it. */
	private static final int[] TIMES = CaseRun.TROUBLE ? new int[] { 20_000, 2_880 } : new int[] { 4, 4 };

	private static final long PERIOD_MILLIS = 30_000;

	/** 3.2 jobs a second. */
	private static final int GAP_MILLIS = 310;

	private static final int CLIENT_TRIES = 5;

	private static final int FINISH_MILLIS = 14_000;

	private static final int QUESTIONS = 5;

	private static final int QUESTION_TRIES = 3;

	private LongSchedules() {
	}

	public static void main(String[] args) throws Exception {
		CaseRun.main(args[0], LongSchedules::broken);
	}

	private static String path(int job) {
		return "/plans/" + String.format("%016x", 0x4c0e7a21d94b3600L + job);
	}

	private static void handIn(CaseRun run, String path, int times, long firstMillis, AtomicInteger accepted) {
		for (int attempt = 0; attempt < CLIENT_TRIES; attempt++) {
			CaseRun.Response response = run.client(1, "POST", path,
					"{\"spec\":\"plan\",\"firstMs\":" + firstMillis + ",\"periodMs\":" + PERIOD_MILLIS + ",\"repeatCount\":"
							+ times + ",\"steps\":[{\"count\":1,\"cpu\":5600,\"memMb\":1024,\"estDurationMs\":1000}]}");
			if (response != null && response.status == 200) {
				accepted.incrementAndGet();
				return;
			}
			try {
				Thread.sleep(500);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private static boolean broken(CaseRun run) throws Exception {
		AtomicInteger[] ends = new AtomicInteger[3];
		for (int replica = 1; replica <= 3; replica++) {
			ends[replica - 1] = run.restartWhenEnded(replica, run.startReplica(replica, true));
		}
		run.startEntry(1);
		run.configure(CaseRun.configuration(1, List.<Object[]>of(new Object[] { "plans", "/plans/", 1, 4 }),
				CaseRun.tenant("kaje", "key-one")), 20_000);
		World world = new World(1000, 1, 0, false);
		new SoundExecutor(run, world, "i-one", 101).start();
		new SoundExecutor(run, world, "i-two", 102).start();
		Thread.sleep(1000);
		long firstMillis = System.currentTimeMillis() + 600_000;
		AtomicInteger accepted = new AtomicInteger();
		List<Thread> clients = new ArrayList<>();
		for (int job = 0; job < JOBS; job++) {
			String path = path(job);
			int times = TIMES[job % TIMES.length];
			Thread client = new Thread(() -> handIn(run, path, times, firstMillis, accepted));
			client.start();
			clients.add(client);
			Thread.sleep(GAP_MILLIS);
		}
		for (Thread client : clients) {
			client.join();
		}
		run.record("client", accepted + " jobs were accepted");
		Thread.sleep(FINISH_MILLIS);
		int unanswered = 0;
		for (int question = 0; question < QUESTIONS; question++) {
			boolean answered = false;
			for (int attempt = 0; attempt < QUESTION_TRIES && !answered; attempt++) {
				CaseRun.Response state = run.client(1, "GET", path(question), null);
				answered = state != null && state.status == 200;
				Thread.sleep(300);
			}
			unanswered += answered ? 0 : 1;
		}
		int own = ends[0].get() + ends[1].get() + ends[2].get();
		run.record("judge", own + " ends of control processes by themselves; " + unanswered + " of " + QUESTIONS
				+ " accepted jobs without an answer to " + QUESTION_TRIES + " questions");
		if (unanswered > 0) {
			run.record("judge", "LOST: accepted jobs are asked for and get no answer");
		}
		return unanswered > 0;
	}

}
