package io.verbenatrack.model;

import java.time.Instant;
import java.util.Optional;

/**
 * A declared exception to the fleet-wide defaults.
 *
 * @param name the name of the exception
 * @param scope the account or rack that the exception applies to
 * @param setting the key of {@link FleetDefaults} that it overrides, in kebab case
 * @param value the overriding value, as written in the declaration
 * @param reason why the exception exists, never blank
 * @param expires when the exception expires, or empty if it does not
 */
public record ExceptionDeclaration(String name, Scope scope, String setting, String value, String reason,
		Optional<Instant> expires) {

	/**
	 * The scope of an exception.
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
