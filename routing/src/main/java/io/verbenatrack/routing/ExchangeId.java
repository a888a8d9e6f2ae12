package io.verbenatrack.routing;

/**
 * Identifies one send of a request to this instance. A resend is another exchange.
 *
 * @param value a number that increases with each exchange on the instance
 */
public record ExchangeId(long value) {

}
