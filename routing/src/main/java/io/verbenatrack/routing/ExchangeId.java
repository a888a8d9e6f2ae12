package io.verbenatrack.routing;

/**
 * Names one send of a request to this instance; a resend is another exchange.
 *
 * @param value counts up on each instance
 */
public record ExchangeId(long value) {

}
