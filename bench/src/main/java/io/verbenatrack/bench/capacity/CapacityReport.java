package io.verbenatrack.bench.capacity;

import java.util.ArrayList;
import java.util.List;

/**
 * Results of the capacity bench.
 *
 * @param measurements the measurements
 * @param budgets the load of each stream at the target size, with its budget
 * @param failures the parts of the bench that failed, each with its exception
 */
public record CapacityReport(List<Measurement> measurements, List<BudgetLine> budgets, List<String> failures) {

	public CapacityReport {
		measurements = List.copyOf(measurements);
		budgets = List.copyOf(budgets);
		failures = List.copyOf(failures);
	}

	/**
	 * Formats the measurement table and the budget table.
	 * @return both tables as Markdown
	 */
	public String toText() {
		return measuredTable() + "\n" + budgetTable();
	}

	String measuredTable() {
		List<String> rows = new ArrayList<>();
		rows.add("| measured | unit | size | mean at each size ± half the spread of the runs | slope by size |");
		rows.add("| --- | --- | --- | --- | --- |");
		this.measurements.forEach((measurement) -> rows.add(measurement.toRow()));
		this.failures.forEach((failure) -> rows.add("| **failed** | | | " + failure + " | |"));
		return String.join("\n", rows) + "\n";
	}

	String budgetTable() {
		List<String> rows = new ArrayList<>();
		rows.add("| role | stream | state | figure at the target size | budget | margin | mechanism | how known |");
		rows.add("| --- | --- | --- | --- | --- | --- | --- | --- |");
		this.budgets.forEach((line) -> rows.add(line.toRow()));
		return String.join("\n", rows) + "\n";
	}

}
