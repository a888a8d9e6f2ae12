package io.verbenatrack.model;

import java.util.List;
import java.util.Optional;

/**
 * One revision of the operators' declarations.
 *
 * @param defaults the fleet-wide policy
 * @param accounts the client accounts, in order of their ids
 * @param exceptions the exceptions to the fleet-wide policy, each with its reason
 */
public record Declarations(FleetDefaults defaults, List<AccountDeclaration> accounts,
		List<ExceptionDeclaration> exceptions) {

	/** The declarations before operators have made any. */
	public static final Declarations EMPTY = new Declarations(FleetDefaults.STANDARD, List.of(), List.of());

	public Declarations {
		accounts = List.copyOf(accounts);
		exceptions = List.copyOf(exceptions);
	}

	/**
	 * Finds a client account.
	 * @param id the account
	 * @return its declaration, if there is one
	 */
	public Optional<AccountDeclaration> account(AccountId id) {
		return this.accounts.stream().filter((account) -> account.id().equals(id)).findFirst();
	}

}
