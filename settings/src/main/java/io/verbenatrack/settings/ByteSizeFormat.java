package io.verbenatrack.settings;

import java.util.OptionalLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses sizes such as 512B, 64KiB or 1MiB.
 */
public final class ByteSizeFormat {

	/** The description of the format in error messages. */
	public static final String REMEDY = "Write a whole number and a unit out of B, KiB, MiB or GiB, such as 1MiB.";

	private static final Pattern PATTERN = Pattern.compile("(\\d{1,9})(B|KiB|MiB|GiB)");

	private static final int KIB_BITS = 10;

	private static final int MIB_BITS = 20;

	private static final int GIB_BITS = 30;

	private ByteSizeFormat() {
	}

	/**
	 * Parses a size.
	 * @param text the text
	 * @return the size in bytes, or empty when the text is not a size
	 */
	public static OptionalLong parse(String text) {
		Matcher matcher = PATTERN.matcher(text);
		if (!matcher.matches()) {
			return OptionalLong.empty();
		}
		long amount = Long.parseLong(matcher.group(1));
		return OptionalLong.of(switch (matcher.group(2)) {
			case "KiB" -> amount << KIB_BITS;
			case "MiB" -> amount << MIB_BITS;
			case "GiB" -> amount << GIB_BITS;
			default -> amount;
		});
	}

}
