package io.verbenatrack.settings;

import java.time.Instant;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.ExceptionDeclaration;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.RackId;

/**
 * Applies the exceptions that are in force to the fleet-wide defaults.
 */
public final class EffectiveDefaults {

	private EffectiveDefaults() {
	}

	/**
	 * The policy for a client account.
	 * @param declarations the declarations
	 * @param account the account
	 * @param now the time, against which exceptions expire
	 * @return the defaults with the account's exceptions applied
	 */
	public static FleetDefaults forAccount(Declarations declarations, AccountId account, Instant now) {
		return apply(declarations, new ExceptionDeclaration.Scope.OneAccount(account), now);
	}

	/**
	 * The policy for a rack.
	 * @param declarations the declarations
	 * @param rack the rack
	 * @param now the time, against which exceptions expire
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
