package io.verbenatrack.telemetry;

import java.io.PrintStream;
import java.text.MessageFormat;
import java.util.ResourceBundle;

/**
 * Writes log lines to a stream. Events are written unchanged; messages of other loggers
 * are prefixed with level and logger name.
 */
final class StandardErrorLogger implements System.Logger {

	private final String name;

	private final PrintStream stream;

	StandardErrorLogger(String name, PrintStream stream) {
		this.name = name;
		this.stream = stream;
	}

	@Override
	public String getName() {
		return this.name;
	}

	@Override
	public boolean isLoggable(Level level) {
		return level != Level.OFF && level.getSeverity() >= threshold().getSeverity();
	}

	@Override
	public void log(Level level, ResourceBundle bundle, String message, Throwable thrown) {
		if (isLoggable(level)) {
			String cause = (thrown != null) ? " (" + thrown + ")" : "";
			this.stream.println(prefix(level) + message + cause);
		}
	}

	@Override
	public void log(Level level, ResourceBundle bundle, String format, Object... parameters) {
		if (isLoggable(level)) {
			boolean literal = parameters == null || parameters.length == 0;
			this.stream.println(prefix(level) + (literal ? format : MessageFormat.format(format, parameters)));
		}
	}

	private Level threshold() {
		return isEventLogger() ? Level.INFO : Level.WARNING;
	}

	private String prefix(Level level) {
		return isEventLogger() ? "" : level + " " + this.name + ": ";
	}

	private boolean isEventLogger() {
		return SystemEventLog.LOGGER_NAME.equals(this.name);
	}

}
