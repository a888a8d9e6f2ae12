package io.verbenatrack.bench.capacity;

import java.util.Locale;

/**
 * Formats numbers with three significant digits, and numbers from 100 on as integers.
 */
final class NumberFormatter {

	private static final double INTEGER_THRESHOLD = 100;

	private NumberFormatter() {
	}

	static String format(double value) {
		if (Double.isNaN(value)) {
			return "not measured";
		}
		if (Math.abs(value) >= INTEGER_THRESHOLD || value == Math.rint(value)) {
			return String.format(Locale.ROOT, "%,.0f", value);
		}
		return String.format(Locale.ROOT, "%.3g", value);
	}

}
