package io.verbenatrack.settings;

import java.time.Duration;
import java.util.List;

/**
 * Reads the timeouts, leases and intervals of an instance.
 */
final class TimeoutSettingsReader {

	/** The keys of the timeouts, in kebab case. */
	static final List<String> KEYS = List.of("configuration-lease", "heartbeat", "election", "target-lease", "connect",
			"probe", "request-default", "request-maximum", "answer-retention", "http-idle", "balancer-delay",
			"shutdown-deadline");

	private static final Duration MILLISECOND = Duration.ofMillis(1);

	private static final Duration MINUTE = Duration.ofMinutes(1);

	private static final Duration DAY = Duration.ofDays(1);

	private TimeoutSettingsReader() {
	}

	static TimeoutSettings read(MappingReader reader) {
		reader.requireKnownKeys(KEYS.toArray(String[]::new));
		return new TimeoutSettings(upToAMinute(reader, "configuration-lease", Duration.ofSeconds(5)),
				upToAMinute(reader, "heartbeat", Duration.ofMillis(500)),
				upToAMinute(reader, "election", Duration.ofMillis(1500)),
				upToAMinute(reader, "target-lease", Duration.ofSeconds(3)),
				upToAMinute(reader, "connect", Duration.ofSeconds(1)),
				upToAMinute(reader, "probe", Duration.ofSeconds(2)),
				upToADay(reader, "request-default", Duration.ofSeconds(30)),
				upToADay(reader, "request-maximum", Duration.ofMinutes(10)),
				upToADay(reader, "answer-retention", Duration.ofHours(24)),
				upToADay(reader, "http-idle", Duration.ofMinutes(1)),
				reader.duration("balancer-delay", Duration.ofSeconds(2), Duration.ZERO, MINUTE),
				upToADay(reader, "shutdown-deadline", Duration.ofSeconds(30)));
	}

	private static Duration upToAMinute(MappingReader reader, String key, Duration fallback) {
		return reader.duration(key, fallback, MILLISECOND, MINUTE);
	}

	private static Duration upToADay(MappingReader reader, String key, Duration fallback) {
		return reader.duration(key, fallback, MILLISECOND, DAY);
	}

}
