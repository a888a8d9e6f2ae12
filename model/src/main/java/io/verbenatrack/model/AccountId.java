package io.verbenatrack.model;

/**
 * Names a client account.
 *
 * @param value the identifier as callers write it, see {@link Identifiers}
 */
public record AccountId(String value) implements Comparable<AccountId> {

	public AccountId {
		Identifiers.requireValid("client account", value);
	}

	@Override
	public int compareTo(AccountId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
