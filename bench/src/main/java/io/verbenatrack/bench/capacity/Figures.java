package io.verbenatrack.bench.capacity;

import java.util.Locale;

/**
 * Formats numbers with three significant digits, and numbers from 100 on as integers.
 */
final class Figures {

	private static final double WHOLE_FROM = 100;

	private Figures() {
	}

	static String text(double value) {
		if (Double.isNaN(value)) {
			return "not measured";
		}
		if (Math.abs(value) >= WHOLE_FROM || value == Math.rint(value)) {
			return String.format(Locale.ROOT, "%,.0f", value);
		}
		return String.format(Locale.ROOT, "%.3g", value);
	}

}
