package io.verbenatrack.settings;

import java.util.Optional;

/**
 * Requires the default request timeout not to exceed the maximum request timeout.
 */
record DefaultTimeoutWithinMaximum() implements SettingsRule {

	@Override
	public Optional<Violation> violation(InstanceSettings settings) {
		TimeoutSettings timeouts = settings.timeouts();
		if (timeouts.requestDefault().compareTo(timeouts.requestMaximum()) <= 0) {
			return Optional.empty();
		}
		return Optional.of(new Violation("timeouts", "has a request-default over request-maximum.",
				"Lower request-default, or raise request-maximum."));
	}

}
