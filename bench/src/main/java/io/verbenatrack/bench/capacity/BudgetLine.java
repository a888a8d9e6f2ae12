package io.verbenatrack.bench.capacity;

/**
 * Load of one traffic stream on one role at the target fleet size, with its budget.
 *
 * @param role the role of the instance, such as entry or control leader
 * @param stream the traffic stream
 * @param condition the operating condition, such as at rest or a burst
 * @param figure the load, {@link Double#NaN} if it was not measured
 * @param budget the budget, {@link Double#NaN} if there is none
 * @param unit the unit of the figure and the budget
 * @param mechanism the simple name of the class that handles the stream
 * @param source how the figure was obtained
 */
public record BudgetLine(String role, String stream, String condition, double figure, double budget, String unit,
		String mechanism, Source source) {

	/** How a figure was obtained. */
	public enum Source {

		/** Measured at the target size. */
		MEASURED,

		/** Computed from measurements. */
		WORKED_OUT,

		/** Computed from measurements and an assumed event rate. */
		ASSUMED_RATE

	}

	String toRow() {
		String limit = Double.isNaN(this.budget) ? "-" : NumberFormatter.format(this.budget) + " " + this.unit;
		return "| " + this.role + " | " + this.stream + " | " + this.condition + " | "
				+ NumberFormatter.format(this.figure) + " " + this.unit + " | " + limit + " | " + margin() + " | `"
				+ this.mechanism + "` | " + this.source.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ')
				+ " |";
	}

	private String margin() {
		if (Double.isNaN(this.figure)) {
			return "not known";
		}
		if (Double.isNaN(this.budget)) {
			return "-";
		}
		double remaining = this.budget - this.figure;
		return (remaining >= 0) ? NumberFormatter.format(remaining) + " " + this.unit
				: "**does not fit, over by " + NumberFormatter.format(-remaining) + "**";
	}

}
