package io.verbenatrack.model;

/**
 * What went wrong, and what to do about it.
 *
 * @param kind the kind
 * @param message one sentence on what was found
 * @param remedy one sentence on what to do
 */
public record Problem(ProblemKind kind, String message, String remedy) {

	@Override
	public String toString() {
		return this.message + " " + this.remedy;
	}

}
