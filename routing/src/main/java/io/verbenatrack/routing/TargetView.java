package io.verbenatrack.routing;

/**
 * What an instance knows of a target.
 *
 * @param spec what the target announced
 * @param phase where it stands
 * @param reportedLoad how many requests it ran when it announced itself last
 * @param reportedAtNanos when it did so, on the monotonic clock of this instance, in
 * nanoseconds
 */
public record TargetView(TargetSpec spec, TargetPhase phase, int reportedLoad, long reportedAtNanos) {

}
