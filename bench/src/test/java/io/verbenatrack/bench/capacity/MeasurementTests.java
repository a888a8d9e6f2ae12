package io.verbenatrack.bench.capacity;

import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests for {@link Measurement} and {@link BudgetLine}.
 */
public class MeasurementTests {

	private static final double EXACT = 1e-9;

	@Test
	public void slopeIsThatOfTheLineThroughTheMeans() {
		MeasurementCollector collector = new MeasurementCollector();
		for (int size : new int[] { 10, 20, 40 }) {
			collector.add("q", "B", "workers", size, 3 * size + 5 - 1);
			collector.add("q", "B", "workers", size, 3 * size + 5 + 1);
		}
		Measurement measurement = collector.measurements().getFirst();
		assertThat(measurement.slope()).isCloseTo(3, within(EXACT));
		assertThat(measurement.estimateAt(100)).isCloseTo(305, within(EXACT));
		assertThat(measurement.points().getFirst().spread()).isCloseTo(2, within(EXACT));
	}

	@Test
	public void oneSizeHasNoSlope() {
		MeasurementCollector collector = new MeasurementCollector();
		collector.add("q", "B", "workers", 10, 7);
		assertThat(collector.measurements().getFirst().slope()).isZero();
	}

	@Test
	public void measurementWithoutPointsIsRefused() {
		assertThatIllegalArgumentException().isThrownBy(() -> new Measurement("q", "B", "workers", List.of()))
			.withMessageContaining("Give one size");
	}

	@Test
	public void figureOverItsBudgetIsMarked() {
		assertThat(line(30, 23).toRow()).contains("does not fit, over by 7");
		assertThat(line(20, 23).toRow()).doesNotContain("does not fit").contains("| 3 KB/s |");
	}

	@Test
	public void missingMeasurementIsNeverAFit() {
		assertThat(line(Double.NaN, 23).toRow()).contains("not known");
		assertThat(BudgetCalculator.calculate(List.of())).allSatisfy((line) -> assertThat(line.figure()).isNaN());
	}

	private static BudgetLine line(double figure, double budget) {
		return new BudgetLine("entry", "reports", "at rest", figure, budget, "KB/s", "Instance",
				BudgetLine.Source.MEASURED);
	}

}
