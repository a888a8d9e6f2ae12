package io.verbenatrack.model;

/**
 * Describes an error and its remedy.
 *
 * @param kind the kind of problem
 * @param message one sentence that describes the error
 * @param remedy one sentence that tells the reader what to do
 */
public record Problem(ProblemKind kind, String message, String remedy) {

	@Override
	public String toString() {
		return this.message + " " + this.remedy;
	}

}
