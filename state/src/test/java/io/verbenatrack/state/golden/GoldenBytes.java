package io.verbenatrack.state.golden;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A golden file with bytes that an earlier build wrote. A build that cannot decode them,
 * or that encodes them differently, cannot use stored data or communicate with instances
 * of the earlier build.
 *
 * <p>
 * Each line of the file holds the name of a format, a space and the bytes in hexadecimal.
 */
public final class GoldenBytes {

	private final Map<String, List<byte[]>> bytesByFormat = new LinkedHashMap<>();

	/**
	 * Reads a golden file.
	 * @param anchor a class in the package of the file
	 * @param resource the name of the file
	 */
	public GoldenBytes(Class<?> anchor, String resource) {
		try (InputStream input = anchor.getResourceAsStream(resource)) {
			assertThat(input).as(resource).isNotNull();
			new String(input.readAllBytes(), StandardCharsets.UTF_8).lines().forEach(this::add);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void add(String line) {
		String[] parts = line.split(" ");
		this.bytesByFormat.computeIfAbsent(parts[0], (format) -> new ArrayList<>())
			.add(HexFormat.of().parseHex(parts[1]));
	}

	/**
	 * Asserts that all golden bytes of a format are decoded and encoded again to the same
	 * bytes, and that the encoding of each sample is in the file.
	 * @param <T> the type of the records
	 * @param format the name of the format
	 * @param samples the records whose encodings the file must contain
	 * @param decoder decodes a record
	 * @param encoder encodes a record
	 */
	public <T> void assertCompatible(String format, List<T> samples, Function<byte[], T> decoder,
			Function<T, byte[]> encoder) {
		Set<String> golden = new HashSet<>();
		for (byte[] bytes : this.bytesByFormat.getOrDefault(format, List.of())) {
			assertThat(hex(encoder.apply(decoder.apply(bytes)))).as(format).isEqualTo(hex(bytes));
			golden.add(hex(bytes));
		}
		List<String> missing = samples.stream()
			.map((sample) -> hex(encoder.apply(sample)))
			.filter((sample) -> !golden.contains(sample))
			.map((sample) -> format + " " + sample)
			.toList();
		assertThat(missing).as("lines missing in the golden file; add them only for new records").isEmpty();
	}

	/**
	 * Asserts that all golden bytes of an earlier format are decoded and encoded in the
	 * current format, to bytes in the file.
	 * @param <T> the type of the records
	 * @param earlier the name of the earlier format
	 * @param current the name of the current format
	 * @param decoder decodes a record of either format
	 * @param encoder encodes a record in the current format
	 */
	public <T> void assertConverted(String earlier, String current, Function<byte[], T> decoder,
			Function<T, byte[]> encoder) {
		assertThat(this.bytesByFormat).containsKeys(earlier, current);
		List<String> golden = this.bytesByFormat.get(current).stream().map(GoldenBytes::hex).toList();
		for (byte[] bytes : this.bytesByFormat.get(earlier)) {
			assertThat(golden).as(earlier).contains(hex(encoder.apply(decoder.apply(bytes))));
		}
	}

	private static String hex(byte[] bytes) {
		return HexFormat.of().formatHex(bytes);
	}

}
