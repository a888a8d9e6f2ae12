package io.verbenatrack.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.SplittableRandom;

import org.testng.annotations.Test;

import io.verbenatrack.model.Result;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fuzz tests for the readers: random and mutated documents produce a value or a problem,
 * never an exception.
 */
public class ReaderFuzzTests {

	private static final long SEED = 20_261_204L;

	private static final int ROUNDS = 4_000;

	private static final int MAXIMUM_MUTATIONS = 6;

	private static final String YAML_CHARACTERS = ":-[]{}#&*!|>'\"%@`,?\n\t ~\\0u\u00e9\u2028";

	@Test
	public void randomBytesNeverThrow() {
		SplittableRandom random = new SplittableRandom(SEED);
		for (int round = 0; round < ROUNDS; round++) {
			byte[] bytes = new byte[random.nextInt(200)];
			random.nextBytes(bytes);
			readAll(bytes, round);
		}
	}

	@Test
	public void randomYamlCharactersNeverThrow() {
		SplittableRandom random = new SplittableRandom(SEED);
		for (int round = 0; round < ROUNDS; round++) {
			StringBuilder text = new StringBuilder();
			for (int i = random.nextInt(60); i > 0; i--) {
				text.append(YAML_CHARACTERS.charAt(random.nextInt(YAML_CHARACTERS.length())));
			}
			readAll(text.toString().getBytes(StandardCharsets.UTF_8), round);
		}
	}

	@Test
	public void mutatedExamplesNeverThrow() throws IOException {
		SplittableRandom random = new SplittableRandom(SEED);
		List<byte[]> originals = List.of(Examples.INSTANCE.getBytes(StandardCharsets.UTF_8),
				Files.readAllBytes(Examples.folder().resolve("hamid/declarations/exceptions.yaml")),
				Files.readAllBytes(Examples.folder().resolve("visina/instance.yaml")));
		for (int round = 0; round < ROUNDS; round++) {
			byte[] bytes = originals.get(random.nextInt(originals.size())).clone();
			for (int i = 1 + random.nextInt(MAXIMUM_MUTATIONS); i > 0; i--) {
				char replacement = YAML_CHARACTERS.charAt(random.nextInt(YAML_CHARACTERS.length()));
				bytes[random.nextInt(bytes.length)] = (byte) replacement;
			}
			readAll(bytes, round);
		}
	}

	private static void readAll(byte[] bytes, int round) {
		List<Result<?>> results = List.of(InstanceSettingsReader.read("fuzz", bytes), WorkFile.read("fuzz", bytes),
				DeclarationsJson.read(bytes));
		for (Result<?> result : results) {
			if (result instanceof Result.Failure<?> failure) {
				assertThat(failure.problem().message()).as("seed %d, round %d", SEED, round).isNotBlank();
				assertThat(failure.problem().remedy()).as("seed %d, round %d", SEED, round).isNotBlank();
			}
		}
	}

}
