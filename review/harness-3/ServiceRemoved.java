import java.nio.file.Path;
import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A configuration moves a route to another service and removes the earlier one, while
 * tasks of the route run there. Then the control leader is killed and started again.
 */
final class ServiceRemoved extends Case {

	private static final String JOB = "5c0e7a21d94b36fc";

	private static final String NEXT = "jalan-baru";

	private static final int WORK_MILLIS = 12_000;

	/** From the end of the kill; more than contactMs (3 s) and less than a lease (6 s). */
	private static final int CALM_MILLIS = 4500;

	public static void main(String[] args) {
		main(Path.of(args[0]), new ServiceRemoved());
	}

	@Override
	int run(Lab lab) throws Exception {
		List<String> both = List.of(Lab.SERVICE, NEXT);
		ObjectNode first = Lab.configuration(7, both);
		Lab.addRoute(first, "lohu930", 1, 3);
		lab.start(first);
		try (Executors earlier = new Executors(lab.record(), lab.control(), Lab.SERVICE, 0, 4, false);
				Executors later = new Executors(lab.record(), lab.control(), NEXT, 4, 4, false)) {
			long end = Executors.now() + 15_000;
			while ((!earlier.allKnown() || !later.allKnown()) && Executors.now() < end) {
				Executors.pause(100);
			}
			lab.submit("lohu930", JOB, Jobs.job("ms=" + WORK_MILLIS).step(2, WORK_MILLIS).body());
			while (earlier.starts(JOB).size() < 2) {
				if (Executors.now() > end) {
					return Lab.NOT_RUN;
				}
				Executors.pause(20);
			}
			long started = earlier.starts(JOB).getLast().at();
			ObjectNode second = Lab.configuration(8, Lab.trouble() ? List.of(NEXT) : both);
			Lab.addRoute(second, "lohu930", 1, 3, NEXT);
			lab.configure(second);
			Executors.pause(Math.max(0, started + WORK_MILLIS - CALM_MILLIS - Executors.now()));
			String leader = lab.leader();
			lab.signal(leader, "KILL");
			lab.startProcess(leader);
			Executors.pause(25_000);
			long done = earlier.ends(JOB).stream().filter((ended) -> ended.how().equals("done")).count();
			List<Executors.Start> again = later.starts(JOB);
			lab.state("lohu930", JOB);
			lab.record().line("runs done at the earlier service: " + done + ", later starts: " + again.size());
			if (done < 2) {
				return Lab.NOT_RUN;
			}
			return again.isEmpty() ? Lab.HELD : Lab.BROKEN;
		}
	}

}
