package io.verbenatrack.bench.capacity;

import java.nio.file.Files;
import java.nio.file.Path;

import io.verbenatrack.model.Result;
import io.verbenatrack.server.Instance;
import io.verbenatrack.settings.InstanceSettings;
import io.verbenatrack.settings.InstanceSettingsReader;

/**
 * Runs one instance, or an idle process, until end of file on its standard input.
 */
public final class CapacityInstance {

	private CapacityInstance() {
	}

	/**
	 * Runs the process.
	 * @param args the settings file, the data folder, and the output file for the process
	 * id and URL; with the output file alone the process stays idle
	 * @throws Exception if the instance cannot start or a file cannot be written
	 */
	public static void main(String[] args) throws Exception {
		if (args.length == 1) {
			writeProcessInfo(Path.of(args[0]), "");
			awaitEndOfInput();
			return;
		}
		InstanceSettings settings = switch (InstanceSettingsReader.read(Path.of(args[0]))) {
			case Result.Success<InstanceSettings> success -> success.value();
			case Result.Failure<InstanceSettings> failure ->
				throw new IllegalArgumentException(failure.problem().toString());
		};
		Instance instance = Instance.start(settings.withData(Path.of(args[1])));
		try {
			writeProcessInfo(Path.of(args[2]), "@" + instance.http());
			awaitEndOfInput();
		}
		finally {
			instance.close();
		}
	}

	private static void writeProcessInfo(Path file, String address) throws Exception {
		Path temporary = file.resolveSibling(file.getFileName() + ".part");
		Files.writeString(temporary, ProcessHandle.current().pid() + address);
		Files.move(temporary, file);
	}

	private static void awaitEndOfInput() throws Exception {
		while (System.in.read() >= 0) {
			continue;
		}
	}

}
