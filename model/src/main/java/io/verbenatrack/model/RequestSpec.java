package io.verbenatrack.model;

import java.time.Instant;

/**
 * The specification of a request to a service, without the body.
 *
 * @param id the identifier of the request, chosen by the caller; a retry carries the same
 * id
 * @param service the service that is called
 * @param account the client account that is charged for the request
 * @param idempotent whether executing the request more than once is safe
 * @param deadline the time at which the caller stops waiting
 */
public record RequestSpec(RequestId id, ServiceId service, AccountId account, boolean idempotent, Instant deadline) {

}
