package io.verbenatrack.control;

import io.verbenatrack.model.Identifiers;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.protocol.control.ReplicaMember;

/**
 * Names a replica: an instance together with one data folder.
 *
 * <p>
 * An instance whose folder was lost comes back under another incarnation, so that nobody
 * takes its vote for one of the lost replica.
 *
 * @param instance the instance
 * @param incarnation the identifier that was drawn when the folder was created
 */
public record ReplicaId(InstanceId instance, String incarnation) implements Comparable<ReplicaId> {

	private static final char SEPARATOR = '/';

	public ReplicaId {
		Identifiers.requireValid("incarnation", incarnation);
	}

	/**
	 * The replica that a member stands for.
	 * @param member the member, with an incarnation
	 * @return its name
	 */
	public static ReplicaId of(ReplicaMember member) {
		return new ReplicaId(new InstanceId(member.getInstance()), member.getIncarnation());
	}

	/**
	 * Reads what {@link #text()} wrote.
	 * @param text the text
	 * @return the name
	 * @throws IllegalArgumentException when the text is not of that form
	 */
	public static ReplicaId parse(String text) {
		int separator = text.indexOf(SEPARATOR);
		if (separator < 0) {
			throw new IllegalArgumentException("'" + text + "' names no replica. Write it as instance/incarnation.");
		}
		return new ReplicaId(new InstanceId(text.substring(0, separator)), text.substring(separator + 1));
	}

	/**
	 * The name as messages carry it.
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
