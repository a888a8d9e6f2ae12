package io.verbenatrack.fleetd;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;

/**
 * Carries a call to whoever can answer it.
 */
public interface FleetClient {

	/**
	 * Makes a call.
	 * @param call the call
	 * @param timeout how long the caller waits
	 * @return the reply; never completes exceptionally
	 */
	CompletableFuture<FleetReply> call(FleetCall call, Duration timeout);

}
