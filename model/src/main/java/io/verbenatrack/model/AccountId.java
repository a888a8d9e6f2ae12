package io.verbenatrack.model;

/**
 * Identifier of a client account.
 *
 * @param value the text of the identifier, valid by {@link Identifiers}
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
