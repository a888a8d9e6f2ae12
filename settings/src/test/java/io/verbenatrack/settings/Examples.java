package io.verbenatrack.settings;

import java.nio.file.Files;
import java.nio.file.Path;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.Result;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Locates the example files and unwraps results.
 */
final class Examples {

	static final String INSTANCE = """
			cluster: c
			instance: i-1
			region: r
			zone: z
			http: 127.0.0.1:8080
			grpc: 127.0.0.1:8081
			""";

	private Examples() {
	}

	static Path folder() {
		Path folder = Path.of("").toAbsolutePath();
		while (!Files.isDirectory(folder.resolve("examples"))) {
			folder = folder.getParent();
		}
		return folder.resolve("examples");
	}

	static <T> T value(Result<T> result) {
		assertThat(result).isInstanceOf(Result.Success.class);
		return ((Result.Success<T>) result).value();
	}

	static Problem problem(Result<?> result) {
		assertThat(result).isInstanceOf(Result.Failure.class);
		return ((Result.Failure<?>) result).problem();
	}

}
