package io.verbenatrack.routing;

import java.util.Locale;

/**
 * What goes wrong at a step.
 */
enum Fault {

	TARGET_DEATH, RESET, SILENCE, SLOWNESS, GARBAGE, WRONG_LENGTH, CROSSED, LATE, DOUBLED, OUR_DEATH, CALLER_GONE,
	CANCELLATION, DRAIN;

	String text() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	boolean harmless() {
		return this == SLOWNESS || this == DOUBLED || this == DRAIN;
	}

}
