package io.verbenatrack.routing;

/**
 * The state of a target in the directory of an instance.
 *
 * @param spec the announced properties of the target
 * @param phase the phase of the target
 * @param reportedLoad the number of requests that the target ran at its last announcement
 * @param reportedAtNanos the time of the last announcement on the monotonic clock of this
 * instance in nanoseconds
 */
public record TargetView(TargetSpec spec, TargetPhase phase, int reportedLoad, long reportedAtNanos) {

}
