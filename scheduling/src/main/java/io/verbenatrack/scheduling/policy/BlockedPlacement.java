package io.verbenatrack.scheduling.policy;

import java.util.List;

import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.scheduling.state.JobRecord;

/**
 * A possible placement for a gang, together with the jobs that block it.
 *
 * @param placement the accelerators
 * @param blockers the jobs that must release accelerators, cores or memory first
 * @param cost the total cost of the blocking jobs, in the unit of the {@link BlockerCost}
 * used
 */
record BlockedPlacement(GangPlacement placement, List<JobRecord> blockers, double cost) {

}
