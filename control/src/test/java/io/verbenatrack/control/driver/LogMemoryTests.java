package io.verbenatrack.control.driver;

import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.Test;

import io.verbenatrack.control.storage.ReceivedSnapshotProcess;
import io.verbenatrack.control.storage.ReplacedEntriesProcess;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for the memory that a replica needs, in a process with a small heap.
 */
public class LogMemoryTests {

	private static final String HEAP = "-Xmx48m";

	/** More than the heap, at half a MiB each. */
	private static final int COMMANDS = 160;

	private static final long MAX_SECONDS = 120;

	// Guards against a replica that cannot start again after changes larger than its
	// heap.
	@Test
	public void replicaRestartsAfterCommandsLargerThanItsHeap() throws Exception {
		assertThatProcessSucceeds(LargeCommandsProcess.class);
	}

	// Guards against a replica that loads its whole log file to read it.
	@Test
	public void logFileLargerThanTheHeapIsRead() throws Exception {
		assertThatProcessSucceeds(ReplacedEntriesProcess.class);
	}

	// Guards against a replica that loads a whole snapshot to check or store it.
	@Test
	public void snapshotLargerThanTheHeapIsReceived() throws Exception {
		assertThatProcessSucceeds(ReceivedSnapshotProcess.class);
	}

	private static void assertThatProcessSucceeds(Class<?> program) throws Exception {
		Path folder = Files.createTempDirectory("large-commands");
		Path output = folder.resolveSibling(folder.getFileName() + ".output");
		Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(), HEAP,
				"-XX:+ExitOnOutOfMemoryError", "-cp", System.getProperty("java.class.path"), program.getName(),
				folder.toString(), Integer.toString(COMMANDS))
			.redirectErrorStream(true)
			.redirectOutput(output.toFile())
			.start();
		try {
			assertThat(process.waitFor(MAX_SECONDS, TimeUnit.SECONDS)).isTrue();
			assertThat(process.exitValue()).as(Files.readString(output)).isZero();
		}
		finally {
			process.destroyForcibly().waitFor();
			for (File file : folder.toFile().listFiles()) {
				file.delete();
			}
			Files.delete(folder);
			Files.delete(output);
		}
	}

}
