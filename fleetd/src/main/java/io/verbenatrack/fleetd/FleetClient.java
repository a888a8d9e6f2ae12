package io.verbenatrack.fleetd;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;

/**
 * Sends calls to the leader of the fleet.
 */
public interface FleetClient {

	/**
	 * Sends a call.
	 * @param call the call
	 * @param timeout how long the caller waits for the reply; an implementation that
	 * answers without the network may ignore it
	 * @return the reply; the future never completes exceptionally
	 */
	CompletableFuture<FleetReply> call(FleetCall call, Duration timeout);

}
