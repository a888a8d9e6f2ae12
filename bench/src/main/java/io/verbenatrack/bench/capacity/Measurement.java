package io.verbenatrack.bench.capacity;

import java.util.List;
import java.util.Locale;

/**
 * Values of one quantity, measured at one or more sizes in one or more runs.
 *
 * @param name the name of the quantity
 * @param unit the unit of its values
 * @param sizeUnit the unit of its sizes
 * @param points the values at each size
 */
public record Measurement(String name, String unit, String sizeUnit, List<Point> points) {

	public Measurement {
		points = List.copyOf(points);
		if (points.isEmpty()) {
			throw new IllegalArgumentException("Measurement " + name + " has no points. Give one size or more.");
		}
	}

	/**
	 * Returns the slope of the least-squares line through the means.
	 * @return the change of the value per unit of size, 0 if there is only one size
	 */
	public double slope() {
		double size = this.points.stream().mapToDouble(Point::size).average().orElseThrow();
		double value = this.points.stream().mapToDouble(Point::mean).average().orElseThrow();
		double covariance = 0;
		double variance = 0;
		for (Point point : this.points) {
			covariance += (point.size() - size) * (point.mean() - value);
			variance += (point.size() - size) * (point.size() - size);
		}
		return (variance != 0) ? covariance / variance : 0;
	}

	/**
	 * Returns the value of the least-squares line at a size.
	 * @param size the size
	 * @return the estimated value
	 */
	public double estimateAt(double size) {
		double meanSize = this.points.stream().mapToDouble(Point::size).average().orElseThrow();
		double value = this.points.stream().mapToDouble(Point::mean).average().orElseThrow();
		return value + slope() * (size - meanSize);
	}

	/**
	 * Returns the mean of the runs at the largest size.
	 * @return the mean
	 */
	public double meanAtLargestSize() {
		return this.points.getLast().mean();
	}

	String toRow() {
		StringBuilder values = new StringBuilder();
		for (Point point : this.points) {
			values.append(values.isEmpty() ? "" : "; ")
				.append(String.format(Locale.ROOT, "%.0f: %s ±%s", point.size(), NumberFormatter.format(point.mean()),
						NumberFormatter.format(point.spread() / 2)));
		}
		return "| " + this.name + " | " + this.unit + " | " + this.sizeUnit + " | " + values + " | "
				+ NumberFormatter.format(slope()) + " |";
	}

	/**
	 * The values measured at one size.
	 *
	 * @param size the size
	 * @param runs the measured value of each run
	 */
	public record Point(double size, List<Double> runs) {

		public Point {
			runs = List.copyOf(runs);
		}

		double mean() {
			return this.runs.stream().mapToDouble(Double::doubleValue).average().orElse(Double.NaN);
		}

		double spread() {
			double minimum = this.runs.stream().mapToDouble(Double::doubleValue).min().orElse(Double.NaN);
			double maximum = this.runs.stream().mapToDouble(Double::doubleValue).max().orElse(Double.NaN);
			return maximum - minimum;
		}

	}

}
