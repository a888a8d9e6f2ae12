package io.verbenatrack.fleet.model;

/**
 * Names an entry of a configuration.
 *
 * @param kind the kind of entry
 * @param name the name of the entry, empty for {@link Kind#LIMITS}
 */
public record ConfigurationEntry(Kind kind, String name) {

	@Override
	public String toString() {
		return switch (this.kind) {
			case QUEUE -> "queue " + this.name;
			case SERVICE -> "service " + this.name;
			case ACCOUNT -> "client account " + this.name;
			case LIMITS -> "limits on calls";
		};
	}

	/** The kinds of entries. */
	public enum Kind {

		/** A {@link Queue}. */
		QUEUE,

		/** A {@link WorkerPool}, which is named by its service. */
		SERVICE,

		/** A {@link FleetAccount}. */
		ACCOUNT,

		/** The {@link CallLimits}, which exist once. */
		LIMITS

	}

}
