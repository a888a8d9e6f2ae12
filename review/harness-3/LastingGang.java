import java.nio.file.Path;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A gang that lasts fails several times, as its tasks may, and has to be restarted each time. */
final class LastingGang extends Case {

	private static final String JOB = "5c0e7a21d94b36f8";

	private static final int MAX_ATTEMPTS = 2;

	public static void main(String[] args) {
		main(Path.of(args[0]), new LastingGang());
	}

	@Override
	int run(Lab lab) throws Exception {
		ObjectNode configuration = Lab.configuration(7);
		Lab.addRoute(configuration, "lohu930", 1, MAX_ATTEMPTS);
		lab.start(configuration);
		try (Executors executors = new Executors(lab.record(), lab.control(), Lab.SERVICE, 3, Lab.trouble())) {
			long end = Executors.now() + 15_000;
			while (!executors.allKnown() && Executors.now() < end) {
				Executors.pause(100);
			}
			lab.submit("lohu930", JOB, Jobs.job("gang=2;last=1;fail=2500")
				.step(2, 9000, (step) -> step.put("gpu", 1).put("gang", true).put(Names.of("lasting"), true))
				.body());
			// Long enough for maxAttempts failures and 15 s without a disruption after the last.
			long stopAt = Executors.now() + 30_000;
			long lastRun = 0;
			while (Executors.now() < stopAt) {
				String state = lab.state("lohu930", JOB);
				if (executors.running(JOB) > 0 || lastRun == 0) {
					lastRun = Executors.now();
				}
				// Rule LOST: nothing runs for 3 s, from 6 s after the last run, on idle executors.
				if (Executors.now() - lastRun > 10_000) {
					lab.record().line("nothing has run for 10 s, state " + state);
					return (failures(executors) >= MAX_ATTEMPTS) ? Lab.BROKEN : Lab.NOT_RUN;
				}
				Executors.pause(500);
			}
			lab.record().line("ends failed: " + failures(executors));
			if (executors.starts(JOB).isEmpty() || (Lab.trouble() && failures(executors) < MAX_ATTEMPTS)) {
				return Lab.NOT_RUN;
			}
			return Lab.HELD;
		}
	}

	private static long failures(Executors executors) {
		return executors.ends(JOB).stream().filter((end) -> end.how().equals("failed")).count();
	}

}
