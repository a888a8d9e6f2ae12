import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {

	private final long startNanos = System.nanoTime();

	private final PrintWriter file;

	Record(Path path) {
		try {
			this.file = new PrintWriter(Files.newBufferedWriter(path));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	synchronized void line(String text) {
		double seconds = (System.nanoTime() - this.startNanos) / 1e9;
		this.file.println(String.format(Locale.ROOT, "%8.3f  %s", seconds, text));
		this.file.flush();
	}

	@Override
	public synchronized void close() {
		this.file.close();
	}

}
