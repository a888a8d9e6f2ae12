import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A gang that lasts ends as done while the executor of one member is cut off. That
 * executor is then lost for good, before it could report.
 */
final class LastingGangDone extends Case {

	private static final String JOB = "5c0e7a21d94b36fb";

	private static final int DONE_MILLIS = 6000;

	public static void main(String[] args) {
		main(Path.of(args[0]), new LastingGangDone());
	}

	@Override
	int run(Lab lab) throws Exception {
		ObjectNode configuration = Lab.configuration(7);
		Lab.addRoute(configuration, "lohu930", 1, 3);
		lab.start(configuration);
		try (Executors executors = new Executors(lab.record(), lab.control(), Lab.SERVICE, 8, false)) {
			long end = Executors.now() + 15_000;
			while (!executors.allKnown() && Executors.now() < end) {
				Executors.pause(100);
			}
			lab.submit("lohu930", JOB, Jobs.job("gang=2;last=1;done=" + DONE_MILLIS)
				.step(2, 9000,
						(step) -> step.put("gpu", 1)
							.put("gang", true)
							.put(Names.of("most-on-one-executor"), 1)
							.put(Names.of("lasting"), true))
				.body());
			while (executors.starts(JOB).size() < 2) {
				if (Executors.now() > end) {
					return Lab.NOT_RUN;
				}
				Executors.pause(20);
			}
			List<Executors.Start> members = executors.starts(JOB);
			String lost = members.get(1).executor();
			if (members.get(0).executor().equals(lost)) {
				return Lab.NOT_RUN;
			}
			Executors.pause(DONE_MILLIS - 2000);
			if (Lab.trouble()) {
				executors.cutOff(lost);
			}
			long stopAt = Executors.now() + 10_000;
			while (executors.ends(JOB).size() < 2) {
				if (Executors.now() > stopAt) {
					return Lab.NOT_RUN;
				}
				Executors.pause(20);
			}
			if (executors.ends(JOB).stream().anyMatch((ended) -> !ended.how().equals("done"))) {
				return Lab.NOT_RUN;
			}
			Executors.pause(1000);
			if (Lab.trouble()) {
				executors.crash(lost);
			}
			// Seven sound executors are idle. No lease is longer than 6 s.
			Executors.pause(20_000);
			boolean idle = true;
			for (int check = 0; check < 100; check++) {
				idle &= executors.running(JOB) == 0;
				Executors.pause(100);
			}
			lab.state("lohu930", JOB);
			lab.record().line("nothing of the job ran for 10 s, from 21 s after its last run: " + idle);
			return idle ? Lab.BROKEN : Lab.HELD;
		}
	}

}
