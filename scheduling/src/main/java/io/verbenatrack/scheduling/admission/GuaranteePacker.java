package io.verbenatrack.scheduling.admission;

import java.util.List;

import io.verbenatrack.model.AccountDeclaration;

/**
 * Tells whether guarantees fit into a fleet at once.
 */
public interface GuaranteePacker {

	/**
	 * Tries to pack all guarantees in full.
	 * @param accounts the accounts with the guarantees to pack
	 * @return whether a place was found for each gang
	 */
	boolean packs(List<AccountDeclaration> accounts);

}
