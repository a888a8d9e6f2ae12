package io.verbenatrack.server;

/**
 * The services that run in the background of an instance: the HTTP client, the peer
 * listener, the scheduling thread, lease renewal, target exchange and claim expiry.
 */
interface BackgroundServices {

	/**
	 * Starts all services.
	 * @throws Exception if an address cannot be used
	 */
	void start() throws Exception;

}
