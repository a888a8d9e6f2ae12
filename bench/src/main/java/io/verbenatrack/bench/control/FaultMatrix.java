package io.verbenatrack.bench.control;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

import io.verbenatrack.control.replica.ReplicaCore;
import io.verbenatrack.model.StateChart;

/**
 * Each state of the replica's chart, times each fault, alone and any two together.
 */
final class FaultMatrix {

	private static final String EXPECTATIONS = "/faults/replica.yaml";

	private static final String TOGETHER = "together";

	private final JsonNode expectations;

	private final StateChart chart = StateChart.load(ReplicaCore.class, "/charts/replica.yaml");

	FaultMatrix() {
		try (InputStream input = FaultMatrix.class.getResourceAsStream(EXPECTATIONS)) {
			this.expectations = new YAMLMapper().readTree(input);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Every cell.
	 * @return the cells
	 * @throws IllegalStateException naming the cells that have no expectation
	 */
	List<Cell> cells() {
		List<Cell> cells = new ArrayList<>();
		List<String> missing = new ArrayList<>();
		for (String state : this.chart.states()) {
			for (FaultKind first : FaultKind.values()) {
				add(state, List.of(first), first.fileName(), cells, missing);
				for (FaultKind second : FaultKind.values()) {
					if (second.ordinal() > first.ordinal()) {
						add(state, List.of(first, second), TOGETHER, cells, missing);
					}
				}
			}
		}
		if (!missing.isEmpty()) {
			throw new IllegalStateException("No expectation for " + missing + ". Add it to " + EXPECTATIONS + ".");
		}
		return cells;
	}

	private void add(String state, List<FaultKind> faults, String name, List<Cell> cells, List<String> missing) {
		JsonNode expectation = this.expectations.path(state).path(name);
		if (expectation.isMissingNode()) {
			missing.add(state + " x " + name);
			return;
		}
		cells.add(new Cell(state, faults, FaultExpectation.ofFile(expectation.asText())));
	}

	/**
	 * States and faults that the file names but that do not exist.
	 * @return their names
	 */
	List<String> strangers() {
		List<String> known = new ArrayList<>(List.of(TOGETHER));
		for (FaultKind kind : FaultKind.values()) {
			known.add(kind.fileName());
		}
		List<String> strangers = new ArrayList<>();
		for (Map.Entry<String, JsonNode> state : this.expectations.properties()) {
			if (!this.chart.states().contains(state.getKey())) {
				strangers.add(state.getKey());
			}
			state.getValue().fieldNames().forEachRemaining((name) -> {
				if (!known.contains(name)) {
					strangers.add(state.getKey() + " x " + name);
				}
			});
		}
		return strangers;
	}

	/**
	 * One cell.
	 *
	 * @param state the state that a replica has just entered
	 * @param faults what strikes it then; a second fault strikes the next replica
	 * @param expectation what has to hold
	 */
	record Cell(String state, List<FaultKind> faults, FaultExpectation expectation) {

	}

}
