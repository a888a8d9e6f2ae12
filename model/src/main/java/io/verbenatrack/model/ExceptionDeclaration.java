package io.verbenatrack.model;

import java.time.Instant;
import java.util.Optional;

/**
 * A deviation from the fleet-wide defaults.
 *
 * @param name the name of the exception
 * @param scope whom it applies to
 * @param setting the key of {@link FleetDefaults} that it overrides, in kebab case
 * @param value the overriding value as written
 * @param reason why it exists, never blank
 * @param expires when it ends, if it does
 */
public record ExceptionDeclaration(String name, Scope scope, String setting, String value, String reason,
		Optional<Instant> expires) {

	/**
	 * Whom an exception applies to.
	 */
	public sealed interface Scope {

		/**
		 * One client account.
		 *
		 * @param account the account
		 */
		record OneAccount(AccountId account) implements Scope {

		}

		/**
		 * One rack.
		 *
		 * @param rack the rack
		 */
		record OneRack(RackId rack) implements Scope {

		}

	}

}
