package io.verbenatrack.fleet.model;

import io.verbenatrack.model.ServiceId;

/**
 * Where callers submit jobs of one class.
 *
 * @param name its name
 * @param host the host that callers name
 * @param pathPrefix what the path begins with
 * @param service whose workers run its tasks
 * @param priority 0 comes first and may preempt others
 * @param attempts how often a task or gang may fail
 * @param stretch the objective allows this many times the longest chain of work
 * @param latencyMillis what the objective allows besides
 * @param timeoutMillis how long a call may take
 * @param open whether callers need no key
 */
public record Queue(String name, String host, String pathPrefix, ServiceId service, int priority, int attempts,
		double stretch, long latencyMillis, long timeoutMillis, boolean open) {

}
