package io.verbenatrack.telemetry;

/**
 * Directs all {@link System.Logger} output to the standard error stream, so that no other
 * logging framework adds its own format to the events.
 */
public final class StandardErrorLoggerFinder extends System.LoggerFinder {

	@Override
	public System.Logger getLogger(String name, Module module) {
		return new StandardErrorLogger(name, System.err);
	}

}
