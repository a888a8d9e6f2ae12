package io.verbenatrack.fleet.forecast;

import io.verbenatrack.model.AccountId;

/**
 * The runs whose run times are expected to be alike.
 *
 * @param queue the name of the queue
 * @param account the client account on whose behalf they run
 */
public record RunClass(String queue, AccountId account) {

}
