package review;

import java.io.PrintWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case. */
final class Recorder implements AutoCloseable {

	private final PrintWriter out;

	private final long startNanos = System.nanoTime();

	Recorder(Path file) throws IOException {
		this.out = new PrintWriter(Files.newBufferedWriter(file));
	}

	synchronized void write(String text) {
		this.out.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
		this.out.flush();
	}

	/** Returns the seconds since the start of the case. */
	double seconds() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	@Override
	public synchronized void close() {
		this.out.close();
	}

}
