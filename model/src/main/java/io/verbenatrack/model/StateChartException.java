package io.verbenatrack.model;

/**
 * Thrown when a packaged state chart is missing or not valid.
 */
public final class StateChartException extends IllegalStateException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	/**
	 * Creates an exception from a problem.
	 * @param problem the problem, with its remedy
	 */
	public StateChartException(Problem problem) {
		super(problem.toString());
		this.problem = problem;
	}

	/**
	 * Returns the problem with the chart.
	 * @return the problem, with its remedy
	 */
	public Problem problem() {
		return this.problem;
	}

}
