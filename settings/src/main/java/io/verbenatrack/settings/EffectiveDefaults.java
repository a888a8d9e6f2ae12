package io.verbenatrack.settings;

import java.time.Instant;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.ExceptionDeclaration;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.RackId;

/**
 * Computes the effective policy of a client account or rack: the fleet-wide defaults with
 * the unexpired exceptions applied.
 */
public final class EffectiveDefaults {

	private EffectiveDefaults() {
	}

	/**
	 * Returns the effective policy of a client account.
	 * @param declarations the declarations
	 * @param account the account
	 * @param now the current time; exceptions that have expired by then are ignored
	 * @return the defaults with the account's exceptions applied
	 */
	public static FleetDefaults forAccount(Declarations declarations, AccountId account, Instant now) {
		return apply(declarations, new ExceptionDeclaration.Scope.OneAccount(account), now);
	}

	/**
	 * Returns the effective policy of a rack.
	 * @param declarations the declarations
	 * @param rack the rack
	 * @param now the current time; exceptions that have expired by then are ignored
	 * @return the defaults with the rack's exceptions applied
	 */
	public static FleetDefaults forRack(Declarations declarations, RackId rack, Instant now) {
		return apply(declarations, new ExceptionDeclaration.Scope.OneRack(rack), now);
	}

	private static FleetDefaults apply(Declarations declarations, ExceptionDeclaration.Scope scope, Instant now) {
		FleetDefaults defaults = declarations.defaults();
		for (ExceptionDeclaration exception : declarations.exceptions()) {
			boolean inForce = exception.expires().map(now::isBefore).orElse(true);
			if (inForce && exception.scope().equals(scope)) {
				defaults = DefaultsReader.override(defaults, exception);
			}
		}
		return defaults;
	}

}
