package io.verbenatrack.settings;

import java.util.List;

/**
 * Reads the size and count limits of an instance.
 */
final class LimitSettingsReader {

	/** The keys of the limits, in kebab case. */
	static final List<String> KEYS = List.of("request-body", "answer-body", "control-body", "unfinished-jobs",
			"unfinished-jobs-per-account", "remembered-jobs", "workers", "targets", "reports-per-call",
			"queued-requests", "queued-requests-per-account", "remembered-answers", "remembered-answers-size",
			"ring-capacity", "connections");

	private static final int MEBIBYTE = 1 << 20;

	private static final int MAXIMUM_BYTES = 1 << 30;

	private static final int MAXIMUM_COUNT = 10_000_000;

	private LimitSettingsReader() {
	}

	static LimitSettings read(MappingReader reader) {
		reader.requireKnownKeys(KEYS.toArray(String[]::new));
		return new LimitSettings(bytes(reader, "request-body", MEBIBYTE), bytes(reader, "answer-body", 4 * MEBIBYTE),
				bytes(reader, "control-body", MEBIBYTE), count(reader, "unfinished-jobs", 10_000),
				count(reader, "unfinished-jobs-per-account", 4_000), count(reader, "remembered-jobs", 20_000),
				count(reader, "workers", 2_000), count(reader, "targets", 2_000),
				count(reader, "reports-per-call", 1_000), count(reader, "queued-requests", 4_000),
				count(reader, "queued-requests-per-account", 2_000), count(reader, "remembered-answers", 20_000),
				bytes(reader, "remembered-answers-size", 8 * MEBIBYTE), count(reader, "ring-capacity", 4_096),
				count(reader, "connections", 4_000));
	}

	private static int count(MappingReader reader, String key, int fallback) {
		return reader.integer(key, fallback, 1, MAXIMUM_COUNT);
	}

	private static int bytes(MappingReader reader, String key, int fallback) {
		return (int) reader.bytes(key, fallback, 1, MAXIMUM_BYTES);
	}

}
