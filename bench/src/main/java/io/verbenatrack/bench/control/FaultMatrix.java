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
 * Matrix of replica states and faults: each state of the replica's state chart is
 * combined with each single fault and each pair of different faults.
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
	 * Returns all cells.
	 * @return the cells
	 * @throws IllegalStateException if cells have no expectation; the message lists them
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
		cells.add(new Cell(state, faults, FaultExpectation.parse(expectation.asText())));
	}

	/**
	 * Returns the states and faults in the expectations file that do not exist.
	 * @return their names, empty if all exist
	 */
	List<String> unknownNames() {
		List<String> known = new ArrayList<>(List.of(TOGETHER));
		for (FaultKind kind : FaultKind.values()) {
			known.add(kind.fileName());
		}
		List<String> unknownNames = new ArrayList<>();
		for (Map.Entry<String, JsonNode> state : this.expectations.properties()) {
			if (!this.chart.states().contains(state.getKey())) {
				unknownNames.add(state.getKey());
			}
			state.getValue().fieldNames().forEachRemaining((name) -> {
				if (!known.contains(name)) {
					unknownNames.add(state.getKey() + " x " + name);
				}
			});
		}
		return unknownNames;
	}

	/**
	 * One cell of the matrix.
	 *
	 * @param state the state that a replica has just entered when the faults are injected
	 * @param faults the faults to inject, the first into that replica and the second into
	 * the next one
	 * @param expectation the expected behaviour
	 */
	record Cell(String state, List<FaultKind> faults, FaultExpectation expectation) {

	}

}
