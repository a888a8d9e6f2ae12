package io.verbenatrack.routing;

/**
 * An update of one target, sent between instances instead of the full list of targets.
 *
 * @param version the version, which orders updates of the same incarnation and phase
 * @param spec the announced properties of the target
 * @param incarnation a number that increases with each start of the target
 * @param phase the phase of the target
 * @param load the number of requests that the target ran at its last announcement
 * @param ageMillis the age of the information in milliseconds when the update was sent
 */
public record TargetDelta(TargetVersion version, TargetSpec spec, long incarnation, TargetPhase phase, int load,
		long ageMillis) {

	TargetDelta withPhase(TargetPhase later, TargetVersion newer) {
		return new TargetDelta(newer, this.spec, this.incarnation, later, this.load, this.ageMillis);
	}

	TargetDelta withAge(long millis) {
		return new TargetDelta(this.version, this.spec, this.incarnation, this.phase, this.load, millis);
	}

}
