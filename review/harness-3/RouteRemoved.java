import java.nio.file.Path;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** A configuration takes a route away while the first of two steps of an accepted job runs. */
final class RouteRemoved extends Case {

	private static final String JOB = "5c0e7a21d94b36f9";

	private static final int FINISH_MILLIS = 14_000;

	public static void main(String[] args) {
		main(Path.of(args[0]), new RouteRemoved());
	}

	@Override
	int run(Lab lab) throws Exception {
		ObjectNode first = Lab.configuration(7);
		Lab.addRoute(first, "lohu930", 1, 3);
		Lab.addRoute(first, "pule252", 1, 3);
		lab.start(first);
		try (Executors executors = new Executors(lab.record(), lab.control(), Lab.SERVICE, 3, false)) {
			long end = Executors.now() + 15_000;
			while (!executors.allKnown() && Executors.now() < end) {
				Executors.pause(100);
			}
			lab.submit("lohu930", JOB,
					Jobs.job("ms=4000").step(2, 4000).step(2, 4000, (step) -> step.putArray("after").add(0)).body());
			while (executors.starts(JOB).size() < 2) {
				if (Executors.now() > end) {
					return Lab.NOT_RUN;
				}
				Executors.pause(50);
			}
			ObjectNode second = Lab.configuration(8);
			if (!Lab.trouble()) {
				Lab.addRoute(second, "lohu930", 1, 3);
			}
			Lab.addRoute(second, "pule252", 1, 3);
			lab.configure(second);
			long stopAt = Executors.now() + 60_000;
			while (executors.ends(JOB).size() < 2) {
				if (Executors.now() > stopAt) {
					return Lab.NOT_RUN;
				}
				Executors.pause(50);
			}
			// The traffic ends here: the job has a task whose turn has come, and idle executors.
			Executors.pause(FINISH_MILLIS);
			boolean idle = true;
			for (int check = 0; check < 31; check++) {
				idle &= executors.running(JOB) == 0;
				Executors.pause(100);
			}
			long done = executors.ends(JOB).stream().filter((ended) -> ended.how().equals("done")).count();
			lab.record().line("tasks done: " + done + " of 4, nothing ran for 3 s: " + idle);
			lab.state("lohu930", JOB);
			return (done < 4 && idle) ? Lab.BROKEN : (done == 4) ? Lab.HELD : Lab.NOT_RUN;
		}
	}

}
