package io.verbenatrack.fleet.model;

import io.verbenatrack.model.ServiceId;

/**
 * A queue to which callers submit jobs of one class.
 *
 * @param name the name of the queue
 * @param host the host to which callers address their calls
 * @param pathPrefix the prefix of the paths that belong to the queue
 * @param service the service whose workers run its tasks
 * @param priority the priority; 0 is the highest and may preempt the others
 * @param attempts the number of failures after which a task or gang fails its job
 * @param stretch the factor of the completion objective that applies to the estimated run
 * time of the critical path
 * @param latencyMillis the constant part of the completion objective in milliseconds
 * @param timeoutMillis the time limit of a call in milliseconds
 * @param open whether callers need no API key
 */
public record Queue(String name, String host, String pathPrefix, ServiceId service, int priority, int attempts,
		double stretch, long latencyMillis, long timeoutMillis, boolean open) {

}
