package io.verbenatrack.settings;

import java.time.Duration;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats durations such as 30m, 1500ms or 2h.
 */
public final class DurationFormat {

	/** The description of the format in error messages. */
	public static final String REMEDY = "Write a whole number and a unit out of ms, s, m, h or d, such as 30s.";

	private static final Pattern PATTERN = Pattern.compile("(\\d{1,12})(ms|s|m|h|d)");

	private static final long MILLIS_PER_SECOND = 1000;

	private static final long SECONDS_PER_MINUTE = 60;

	private static final long SECONDS_PER_HOUR = 3600;

	private DurationFormat() {
	}

	/**
	 * Parses a duration.
	 * @param text the text
	 * @return the duration, or empty when the text is not one
	 */
	public static Optional<Duration> parse(String text) {
		Matcher matcher = PATTERN.matcher(text);
		if (!matcher.matches()) {
			return Optional.empty();
		}
		long amount = Long.parseLong(matcher.group(1));
		return Optional.of(switch (matcher.group(2)) {
			case "ms" -> Duration.ofMillis(amount);
			case "s" -> Duration.ofSeconds(amount);
			case "m" -> Duration.ofMinutes(amount);
			case "h" -> Duration.ofHours(amount);
			default -> Duration.ofDays(amount);
		});
	}

	/**
	 * Formats a duration in the largest unit that represents it exactly, up to hours.
	 * @param duration the duration; fractions of a millisecond are dropped
	 * @return the text
	 */
	public static String format(Duration duration) {
		long millis = duration.toMillis();
		long seconds = millis / MILLIS_PER_SECOND;
		if (millis % MILLIS_PER_SECOND != 0) {
			return millis + "ms";
		}
		if (seconds == 0 || seconds % SECONDS_PER_MINUTE != 0) {
			return seconds + "s";
		}
		return (seconds % SECONDS_PER_HOUR != 0) ? seconds / SECONDS_PER_MINUTE + "m"
				: seconds / SECONDS_PER_HOUR + "h";
	}

}
