package io.verbenatrack.settings;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import io.verbenatrack.model.ExceptionDeclaration;
import io.verbenatrack.model.FleetDefaults;

/**
 * Reads the fleet-wide defaults and the exceptions that override single values.
 */
final class DefaultsReader {

	/** The keys of the defaults, in kebab case. */
	static final List<String> KEYS = List.of("completion-time-weight", "checkpoint-grace", "lease-duration",
			"quarantine-after-failures", "quarantine-probation", "quarantine-maximum-share", "refuse-after-workers",
			"backfill");

	private static final Duration MINIMUM_LEASE = Duration.ofMillis(100);

	private static final Duration MAXIMUM_DURATION = Duration.ofHours(1);

	private static final Duration MAXIMUM_PROBATION = Duration.ofDays(7);

	private static final int MAXIMUM_COUNT = 1000;

	private DefaultsReader() {
	}

	static FleetDefaults read(MappingReader reader) {
		reader.requireKnownKeys(KEYS.toArray(String[]::new));
		return values(reader, FleetDefaults.STANDARD, KeyMapping.IDENTITY);
	}

	/**
	 * Checks that the value of an exception is valid for its setting.
	 * @param exception the mapping of the exception
	 * @param setting the key that it overrides
	 */
	static void checkValue(MappingReader exception, String setting) {
		values(exception, FleetDefaults.STANDARD, (key) -> setting.equals(key) ? "value" : "");
	}

	/**
	 * Applies an exception to the defaults.
	 * @param defaults the defaults
	 * @param exception the exception, already validated
	 * @return the defaults with the value replaced
	 */
	static FleetDefaults override(FleetDefaults defaults, ExceptionDeclaration exception) {
		String document = "value: \"" + exception.value().replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
		MappingReader reader = DocumentParser.yaml("exception " + exception.name(),
				document.getBytes(StandardCharsets.UTF_8));
		return values(reader, defaults, (key) -> exception.setting().equals(key) ? "value" : "");
	}

	private static FleetDefaults values(MappingReader reader, FleetDefaults fallback, KeyMapping keys) {
		return new FleetDefaults(
				reader.decimal(keys.documentKey("completion-time-weight"), fallback.completionTimeWeight(), 0, 1),
				reader.duration(keys.documentKey("checkpoint-grace"), fallback.checkpointGrace(), Duration.ZERO,
						MAXIMUM_DURATION),
				reader.duration(keys.documentKey("lease-duration"), fallback.leaseDuration(), MINIMUM_LEASE,
						MAXIMUM_DURATION),
				reader.integer(keys.documentKey("quarantine-after-failures"), fallback.quarantineAfterFailures(), 1,
						MAXIMUM_COUNT),
				reader.duration(keys.documentKey("quarantine-probation"), fallback.quarantineProbation(), Duration.ZERO,
						MAXIMUM_PROBATION),
				reader.decimal(keys.documentKey("quarantine-maximum-share"), fallback.quarantineMaximumShare(), 0, 1),
				reader.integer(keys.documentKey("refuse-after-workers"), fallback.refuseAfterWorkers(), 1,
						MAXIMUM_COUNT),
				reader.booleanValue(keys.documentKey("backfill"), fallback.backfill()));
	}

	/**
	 * Maps the key of a default to the key under which the document has its value. An
	 * empty key means that the document does not have the value.
	 */
	private interface KeyMapping {

		/** The document has each value under the key of the default. */
		KeyMapping IDENTITY = (key) -> key;

		String documentKey(String key);

	}

}
