import java.nio.file.Path;

/** Runs one case. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {

	/** A script may run for 120 seconds. */
	private static final int MAX_MILLIS = 115_000;

	static void main(Path folder, Case scenario) {
		exitAfter(MAX_MILLIS);
		int code = Lab.NOT_RUN;
		try (Lab lab = new Lab(folder)) {
			code = scenario.run(lab);
			if (!lab.alive()) {
				lab.record().line("a process has ended by itself");
			}
			lab.record().line("result: " + ((code == Lab.BROKEN) ? "broken" : (code == Lab.HELD) ? "held" : "not run"));
		}
		catch (Exception | Error ex) {
			System.err.println("not run: " + ex);
			code = Lab.NOT_RUN;
		}
		System.exit(code);
	}

	// The shutdown hook of the lab ends the processes.
	private static void exitAfter(int millis) {
		Thread thread = new Thread(() -> {
			Executors.pause(millis);
			System.err.println("not run: took too long");
			System.exit(Lab.NOT_RUN);
		});
		thread.setDaemon(true);
		thread.start();
	}

	abstract int run(Lab lab) throws Exception;

}
