package io.verbenatrack.model;

import java.time.Instant;

/**
 * What a caller asks of a service, without the body.
 *
 * @param id the request, chosen by the caller; a resend carries the same id
 * @param service the service asked
 * @param account the client account that pays for it
 * @param idempotent whether running it twice does no harm
 * @param deadline when the caller stops waiting
 */
public record RequestSpec(RequestId id, ServiceId service, AccountId account, boolean idempotent, Instant deadline) {

}
