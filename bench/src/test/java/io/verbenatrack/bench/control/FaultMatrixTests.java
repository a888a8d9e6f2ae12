package io.verbenatrack.bench.control;

import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the expectation of every cell of the {@link FaultMatrix} holds.
 */
public class FaultMatrixTests {

	private static final long SEED = Long.getLong("control.seed", 1);

	private final FaultMatrix matrix = new FaultMatrix();

	@Test
	public void everyCellHasAnExpectation() {
		int faults = FaultKind.values().length;
		assertThat(this.matrix.cells()).hasSize(7 * (faults + faults * (faults - 1) / 2));
		assertThat(this.matrix.unknownNames()).isEmpty();
	}

	@Test
	public void everyCellHolds() {
		System.out.println("control fault matrix: seed " + SEED);
		List<String> failures = this.matrix.cells()
			.parallelStream()
			.map((cell) -> cell + ": " + new FaultCellRun(cell, SEED).run())
			.filter((verdict) -> !verdict.endsWith(": []"))
			.toList();
		assertThat(failures).as("cells of " + this.matrix.cells().size()).isEmpty();
	}

}
