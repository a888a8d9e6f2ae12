package io.verbenatrack.server;

/**
 * What runs behind the listeners of an instance.
 */
interface BackgroundServices {

	/**
	 * Starts all of it.
	 * @throws Exception when an address cannot be used
	 */
	void start() throws Exception;

}
