package io.verbenatrack.model;

import java.util.List;

/**
 * The declared policy of a client account.
 *
 * @param id the client account
 * @param guarantees the gangs for which capacity is guaranteed to the account
 * @param weight the share of request capacity relative to the other accounts, at least 1
 * @param degradeOrder the order in which guarantees are dropped when the fleet lacks
 * capacity; accounts with a higher number lose theirs first
 */
public record AccountDeclaration(AccountId id, List<Guarantee> guarantees, int weight, int degradeOrder) {

	public AccountDeclaration {
		guarantees = List.copyOf(guarantees);
		if (weight < 1) {
			throw new IllegalArgumentException("Client account " + id + " has weight " + weight + ". Give 1 or more.");
		}
	}

}
