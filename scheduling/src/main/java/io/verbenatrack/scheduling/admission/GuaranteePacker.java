package io.verbenatrack.scheduling.admission;

import java.util.List;

import io.verbenatrack.model.AccountDeclaration;

/**
 * Checks whether a set of guarantees fits into a fleet at the same time.
 */
public interface GuaranteePacker {

	/**
	 * Tries to pack all guarantees in full.
	 * @param accounts the accounts with the guarantees to pack
	 * @return whether a region was found for each gang
	 */
	boolean packs(List<AccountDeclaration> accounts);

}
