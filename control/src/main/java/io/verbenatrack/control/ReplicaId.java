package io.verbenatrack.control;

import io.verbenatrack.model.Identifiers;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * Identifies a replica: an instance together with one data folder.
 *
 * <p>
 * An instance that lost its data folder rejoins with a new incarnation, so that its votes
 * are not mistaken for votes of the lost replica.
 *
 * @param instance the instance
 * @param incarnation the random identifier generated when the data folder was created
 */
public record ReplicaId(InstanceId instance, String incarnation) implements Comparable<ReplicaId> {

	private static final char SEPARATOR = '/';

	public ReplicaId {
		Identifiers.requireValid("incarnation", incarnation);
	}

	/**
	 * Returns the identifier of a member.
	 * @param member the member, whose incarnation must be set
	 * @return its identifier
	 */
	public static ReplicaId of(ReplicaMember member) {
		return new ReplicaId(new InstanceId(member.getInstance()), member.getIncarnation());
	}

	/**
	 * Parses the format written by {@link #text()}.
	 * @param text the text
	 * @return the identifier
	 * @throws IllegalArgumentException if the text is not of the form
	 * instance/incarnation
	 */
	public static ReplicaId parse(String text) {
		int separator = text.indexOf(SEPARATOR);
		if (separator < 0) {
			throw new IllegalArgumentException("'" + text + "' names no replica. Write it as instance/incarnation.");
		}
		return new ReplicaId(new InstanceId(text.substring(0, separator)), text.substring(separator + 1));
	}

	/**
	 * Returns the form used in messages.
	 * @return instance and incarnation, separated by a slash
	 */
	public String text() {
		return this.instance.value() + SEPARATOR + this.incarnation;
	}

	@Override
	public int compareTo(ReplicaId other) {
		return text().compareTo(other.text());
	}

	@Override
	public String toString() {
		return text();
	}

}
