import java.nio.file.Path;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A client hands a job in at an entry that is frozen, gives up, and cancels the job at the
 * other entry. Later the frozen entry wakes with the client's call still unread.
 */
final class CancelBeforeSubmit extends Case {

	private static final String JOB = "5c0e7a21d94b36fa";

	private static final String BODY = Jobs.job("ms=3000").step(2, 3000).body();

	private static final int FREEZE_MILLIS = 6700;

	private static final int CANCEL_MILLIS = 3000;

	public static void main(String[] args) {
		main(Path.of(args[0]), new CancelBeforeSubmit());
	}

	@Override
	int run(Lab lab) throws Exception {
		ObjectNode configuration = Lab.configuration(7);
		Lab.addRoute(configuration, "lohu930", 1, 3);
		lab.start(configuration);
		try (Executors executors = new Executors(lab.record(), lab.control(), Lab.SERVICE, 3, false)) {
			long end = Executors.now() + 15_000;
			while (!executors.allKnown() && Executors.now() < end) {
				Executors.pause(100);
			}
			// Every part of the path works before the freeze.
			lab.submit("lohu930", "00000000000000a1", BODY);
			if (!lab.awaitState("lohu930", "00000000000000a1", "completed", 15_000)) {
				return Lab.NOT_RUN;
			}
			long frozenAt = Executors.now();
			if (Lab.trouble()) {
				lab.signal("entry-1", "STOP");
			}
			lab.client(1, "POST", "lohu930", JOB, BODY);
			Http.Answer cancelled = lab.client(2, "DELETE", "lohu930", JOB, "");
			long cancelledAt = Executors.now();
			if (cancelled.status() != 410 && !cancelled.ok()) {
				return Lab.NOT_RUN;
			}
			if (Lab.trouble()) {
				Executors.pause(Math.max(0, frozenAt + FREEZE_MILLIS - Executors.now()));
				lab.signal("entry-1", "CONT");
			}
			Executors.pause(20_000);
			boolean broken = false;
			for (Executors.Start start : executors.starts(JOB)) {
				long late = start.at() - cancelledAt;
				lab.record().line(start.task() + " started " + late + " ms after its cancelling was acknowledged");
				broken |= late > CANCEL_MILLIS;
			}
			lab.state("lohu930", JOB);
			return broken ? Lab.BROKEN : Lab.HELD;
		}
	}

}
