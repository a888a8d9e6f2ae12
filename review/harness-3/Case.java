import java.nio.file.Path;

/** Runs one case. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
abstract class Case {

	static void main(Path folder, Case scenario) {
		int code = Lab.NOT_RUN;
		try (Lab lab = new Lab(folder)) {
			code = scenario.run(lab);
			if (!lab.alive()) {
				lab.record().line("a process has ended by itself");
			}
			lab.record().line("result: " + ((code == Lab.BROKEN) ? "broken" : (code == Lab.HELD) ? "held" : "not run"));
		}
		catch (Exception ex) {
			System.err.println("not run: " + ex);
			code = Lab.NOT_RUN;
		}
		System.exit(code);
	}

	abstract int run(Lab lab) throws Exception;

}
