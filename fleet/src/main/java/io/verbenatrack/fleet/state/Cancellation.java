package io.verbenatrack.fleet.state;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.JobId;

/**
 * The cancellation of a job that was unknown when it was cancelled.
 *
 * @param account the client account that cancelled the job
 * @param job the job
 */
public record Cancellation(AccountId account, JobId job) {

}
