package io.verbenatrack.telemetry;

/**
 * Sends all {@link System.Logger} lines to the standard error stream, so that events are
 * not wrapped in a second format.
 */
public final class StandardErrorLoggerFinder extends System.LoggerFinder {

	@Override
	public System.Logger getLogger(String name, Module module) {
		return new StandardErrorLogger(name, System.err);
	}

}
