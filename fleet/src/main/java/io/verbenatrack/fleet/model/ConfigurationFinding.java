package io.verbenatrack.fleet.model;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Problem;

/**
 * A finding of {@link ConfigurationReview} about a configuration.
 */
public sealed interface ConfigurationFinding {

	/**
	 * The system refuses the configuration for this error.
	 *
	 * @param problem the error, as found by {@link ConfigurationValidator}
	 */
	record Invalid(Problem problem) implements ConfigurationFinding {

	}

	/**
	 * An entry is accepted, but no call or job can match it.
	 *
	 * @param problem why nothing matches the entry
	 */
	record NeverMatches(Problem problem) implements ConfigurationFinding {

	}

	/**
	 * Limits are accepted, but cannot be kept together.
	 *
	 * @param problem the limits and their values
	 */
	record Contradiction(Problem problem) implements ConfigurationFinding {

	}

	/**
	 * The version is not above the one in force, so the configuration would be
	 * acknowledged without effect.
	 *
	 * @param version the version of the configuration
	 * @param versionInForce the version in force
	 */
	record StaleVersion(long version, long versionInForce) implements ConfigurationFinding {

	}

	/**
	 * The configuration has an entry that the one in force lacks.
	 *
	 * @param entry the entry
	 */
	record Added(ConfigurationEntry entry) implements ConfigurationFinding {

	}

	/**
	 * The configuration lacks an entry of the one in force.
	 *
	 * @param entry the entry
	 */
	record Removed(ConfigurationEntry entry) implements ConfigurationFinding {

	}

	/**
	 * A field of an entry differs from the one in force.
	 *
	 * @param entry the entry
	 * @param field the field and its unit
	 * @param inForce the value in force
	 * @param value the value in the configuration
	 */
	record Changed(ConfigurationEntry entry, String field, String inForce,
			String value) implements ConfigurationFinding {

	}

	/**
	 * The API keys of a client account differ from those in force. The keys themselves
	 * are secret, so only their numbers are given.
	 *
	 * @param account the client account
	 * @param added the number of keys that only the configuration has
	 * @param removed the number of keys that only the one in force has
	 */
	record KeysChanged(AccountId account, int added, int removed) implements ConfigurationFinding {

	}

}
