package io.verbenatrack.bench.capacity;

/**
 * One stream of one role at the target size.
 *
 * @param role the role
 * @param stream the stream
 * @param condition at rest, in a burst, or in a failure
 * @param figure the figure
 * @param budget the budget in the same unit, not a number when there is none
 * @param unit the unit of both
 * @param mechanism the class that carries it
 * @param source how the figure is known
 */
public record BudgetLine(String role, String stream, String condition, double figure, double budget, String unit,
		String mechanism, Source source) {

	/** How a figure is known. */
	public enum Source {

		/** Measured at the target size itself. */
		MEASURED,

		/** Worked out from measured slopes. */
		WORKED_OUT,

		/** Worked out from measured slopes and from a rate that nobody has stated. */
		ASSUMED_RATE

	}

	String toRow() {
		String limit = Double.isNaN(this.budget) ? "-" : Figures.text(this.budget) + " " + this.unit;
		return "| " + this.role + " | " + this.stream + " | " + this.condition + " | " + Figures.text(this.figure) + " "
				+ this.unit + " | " + limit + " | " + margin() + " | `" + this.mechanism + "` | "
				+ this.source.name().toLowerCase(java.util.Locale.ROOT).replace('_', ' ') + " |";
	}

	private String margin() {
		if (Double.isNaN(this.figure)) {
			return "not known";
		}
		if (Double.isNaN(this.budget)) {
			return "-";
		}
		double left = this.budget - this.figure;
		return (left >= 0) ? Figures.text(left) + " " + this.unit
				: "**does not fit, over by " + Figures.text(-left) + "**";
	}

}
