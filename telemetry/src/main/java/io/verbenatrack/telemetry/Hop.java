package io.verbenatrack.telemetry;

/**
 * The steps of a request or job that are traced with a span each.
 */
public enum Hop {

	/** An entry instance handles a request from its arrival to its outcome. */
	REQUEST("verbenatrack.request"),

	/** An entry instance sends one attempt to a target and waits for its answer. */
	ATTEMPT("verbenatrack.attempt"),

	/** A claim on a request that is not idempotent is stored on a quorum. */
	CLAIM("verbenatrack.claim"),

	/** An instance forwards a call to the leading control replica. */
	FORWARD("verbenatrack.forward"),

	/** The control replicas commit a proposal. */
	COMMIT("verbenatrack.commit"),

	/** An instance calls a worker on behalf of a member of a gang. */
	WORKER_CALL("verbenatrack.worker-call"),

	/** An entry instance handles any other call, such as the submission of a job. */
	CALL("verbenatrack.call");

	private final String spanName;

	Hop(String spanName) {
		this.spanName = spanName;
	}

	/**
	 * Returns the name of the spans of this hop.
	 * @return the name
	 */
	public String spanName() {
		return this.spanName;
	}

}
