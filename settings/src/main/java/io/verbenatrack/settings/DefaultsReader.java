package io.verbenatrack.settings;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import io.verbenatrack.model.ExceptionDeclaration;
import io.verbenatrack.model.FleetDefaults;

/**
 * Reads the fleet-wide defaults, and single values that override them.
 */
final class DefaultsReader {

	/** The keys of the defaults, in kebab case. */
	static final List<String> KEYS = List.of("completion-time-weight", "checkpoint-grace", "lease-duration",
			"quarantine-after-failures", "quarantine-probation", "quarantine-maximum-share", "refuse-after-workers",
			"backfill");

	private static final Duration SHORTEST_LEASE = Duration.ofMillis(100);

	private static final Duration LONGEST = Duration.ofHours(1);

	private static final Duration LONGEST_PROBATION = Duration.ofDays(7);

	private static final int MAXIMUM_COUNT = 1000;

	private DefaultsReader() {
	}

	static FleetDefaults read(MappingReader reader) {
		reader.allow(KEYS.toArray(String[]::new));
		return values(reader, FleetDefaults.STANDARD, Keys.OF_DEFAULTS);
	}

	/**
	 * Fails unless the value of an exception is one that its setting can have.
	 * @param exception the mapping of the exception
	 * @param setting the key that it overrides
	 */
	static void checkValue(MappingReader exception, String setting) {
		values(exception, FleetDefaults.STANDARD, (key) -> setting.equals(key) ? "value" : "");
	}

	/**
	 * Overrides one value of the defaults.
	 * @param defaults the defaults
	 * @param exception the exception, already checked
	 * @return the defaults with the value of the exception
	 */
	static FleetDefaults override(FleetDefaults defaults, ExceptionDeclaration exception) {
		String document = "value: \"" + exception.value().replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
		MappingReader reader = DocumentParser.yaml("exception " + exception.name(),
				document.getBytes(StandardCharsets.UTF_8));
		return values(reader, defaults, (key) -> exception.setting().equals(key) ? "value" : "");
	}

	private static FleetDefaults values(MappingReader reader, FleetDefaults fallback, Keys keys) {
		return new FleetDefaults(
				reader.decimal(keys.of("completion-time-weight"), fallback.completionTimeWeight(), 0, 1),
				reader.duration(keys.of("checkpoint-grace"), fallback.checkpointGrace(), Duration.ZERO, LONGEST),
				reader.duration(keys.of("lease-duration"), fallback.leaseDuration(), SHORTEST_LEASE, LONGEST),
				reader.integer(keys.of("quarantine-after-failures"), fallback.quarantineAfterFailures(), 1,
						MAXIMUM_COUNT),
				reader.duration(keys.of("quarantine-probation"), fallback.quarantineProbation(), Duration.ZERO,
						LONGEST_PROBATION),
				reader.decimal(keys.of("quarantine-maximum-share"), fallback.quarantineMaximumShare(), 0, 1),
				reader.integer(keys.of("refuse-after-workers"), fallback.refuseAfterWorkers(), 1, MAXIMUM_COUNT),
				reader.flag(keys.of("backfill"), fallback.backfill()));
	}

	/**
	 * Says under which key a document holds a value of the defaults.
	 */
	private interface Keys {

		/** Each value stands under its own key. */
		Keys OF_DEFAULTS = (key) -> key;

		String of(String key);

	}

}
