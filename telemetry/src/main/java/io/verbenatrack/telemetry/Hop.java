package io.verbenatrack.telemetry;

/**
 * The hops of a request or job that have a span each.
 */
public enum Hop {

	/** An entry instance handles a caller's request from arrival to outcome. */
	REQUEST("verbenatrack.request"),

	/** An entry instance sends one attempt to a target and waits for its answer. */
	ATTEMPT("verbenatrack.attempt"),

	/** A claim of a request that is not idempotent becomes durable on a quorum. */
	CLAIM("verbenatrack.claim"),

	/** An instance passes a call on to the leading control replica. */
	FORWARD("verbenatrack.forward"),

	/** The control replicas commit a proposal. */
	COMMIT("verbenatrack.commit"),

	/** An instance calls a worker on behalf of a gang's member. */
	WORKER_CALL("verbenatrack.worker-call"),

	/** An entry instance handles any other call, such as the submission of a job. */
	CALL("verbenatrack.call");

	private final String spanName;

	Hop(String spanName) {
		this.spanName = spanName;
	}

	/**
	 * The name of the hop's spans.
	 * @return the name
	 */
	public String spanName() {
		return this.spanName;
	}

}
