package io.verbenatrack.bench.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Collects the values of all runs and groups them into measurements.
 */
final class MeasurementCollector {

	private final Map<Quantity, Map<Double, List<Double>>> values = new LinkedHashMap<>();

	void add(String name, String unit, String sizeUnit, double size, double value) {
		this.values.computeIfAbsent(new Quantity(name, unit, sizeUnit), (quantity) -> new TreeMap<>())
			.computeIfAbsent(size, (key) -> new ArrayList<>())
			.add(value);
	}

	List<Measurement> measurements() {
		List<Measurement> all = new ArrayList<>();
		this.values.forEach((quantity, bySize) -> {
			List<Measurement.Point> points = new ArrayList<>();
			bySize.forEach((size, runs) -> points.add(new Measurement.Point(size, runs)));
			all.add(new Measurement(quantity.name, quantity.unit, quantity.sizeUnit, points));
		});
		return all;
	}

	private record Quantity(String name, String unit, String sizeUnit) {

	}

}
