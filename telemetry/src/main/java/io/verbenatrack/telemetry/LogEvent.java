package io.verbenatrack.telemetry;

/**
 * The events that the system logs; docs/EVENTS.md is generated from here.
 */
public enum LogEvent {

	/** An instance is ready to serve. */
	INSTANCE_READY(1001, System.Logger.Level.INFO, "The instance is ready.", "Nothing to do.");

	private final int number;

	private final System.Logger.Level level;

	private final String text;

	private final String remedy;

	LogEvent(int number, System.Logger.Level level, String text, String remedy) {
		this.number = number;
		this.level = level;
		this.text = text;
		this.remedy = remedy;
	}

	/**
	 * The number that operators search for; it never changes.
	 * @return the number
	 */
	public int number() {
		return this.number;
	}

	/**
	 * How severe the event is.
	 * @return the level
	 */
	public System.Logger.Level level() {
		return this.level;
	}

	/**
	 * What happened.
	 * @return one sentence
	 */
	public String text() {
		return this.text;
	}

	/**
	 * What to do.
	 * @return one sentence
	 */
	public String remedy() {
		return this.remedy;
	}

}
