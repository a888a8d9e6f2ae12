package io.verbenatrack.model;

import java.util.List;

/**
 * What operators declare of a client account.
 *
 * @param id the client account
 * @param guarantees the gangs it can always start
 * @param weight its share of request capacity beside the other accounts, at least 1
 * @param degradeOrder accounts with a higher number lose their guarantees first when the
 * fleet is short
 */
public record AccountDeclaration(AccountId id, List<Guarantee> guarantees, int weight, int degradeOrder) {

	public AccountDeclaration {
		guarantees = List.copyOf(guarantees);
		if (weight < 1) {
			throw new IllegalArgumentException("Client account " + id + " has weight " + weight + ". Give 1 or more.");
		}
	}

}
