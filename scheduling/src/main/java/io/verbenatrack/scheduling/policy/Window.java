package io.verbenatrack.scheduling.policy;

import java.util.List;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.scheduling.state.JobRecord;

/**
 * Accelerators that could be cleared for a gang.
 *
 * @param placement the accelerators
 * @param victims the jobs that would have to leave
 * @param price what their leaving costs, see the rule that chose the window
 */
record Window(GangPlacement placement, List<JobRecord> victims, double price) {

}
