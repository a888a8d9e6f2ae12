package io.verbenatrack.routing;

/**
 * News of one target, sent between instances in place of full lists.
 *
 * @param version orders the news of the same target
 * @param spec what the target announced
 * @param incarnation which start of the target it is; a restarted target counts up
 * @param phase where it stands
 * @param load how many requests it ran when it announced itself
 * @param ageMillis how long ago the target said so, in milliseconds, when this was sent
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
