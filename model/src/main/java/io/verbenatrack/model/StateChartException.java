package io.verbenatrack.model;

/**
 * Thrown when a packaged state chart cannot be used.
 */
public final class StateChartException extends IllegalStateException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	/**
	 * Wraps what is wrong with a chart.
	 * @param problem the problem, with its remedy
	 */
	public StateChartException(Problem problem) {
		super(problem.toString());
		this.problem = problem;
	}

	/**
	 * What is wrong with the chart.
	 * @return the problem, with its remedy
	 */
	public Problem problem() {
		return this.problem;
	}

}
