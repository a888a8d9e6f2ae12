package io.verbenatrack.model;

import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link StateChart}.
 */
public class StateChartTests {

	@Test
	public void loadsAndInterpretsAPackagedChart() {
		StateChart chart = StateChart.load(StateChartTests.class, "/charts/door.yaml");
		assertThat(chart.name()).isEqualTo("door");
		assertThat(chart.initialState()).isEqualTo("closed");
		assertThat(chart.next("closed", "pushed")).contains("open");
		assertThat(chart.next("open", "pushed")).isEmpty();
		assertThat(chart.isFinal("removed")).isTrue();
		assertThat(chart.events()).containsExactly("pushed", "pulled", "unscrewed");
	}

	@Test
	public void messageOfAMissingChartNamesTheRemedy() {
		assertThatExceptionOfType(StateChartException.class)
			.isThrownBy(() -> StateChart.load(StateChartTests.class, "/charts/none.yaml"))
			.withMessageContaining("Package it beside");
	}

	@Test
	public void refusesATransitionToAnUndeclaredState() {
		assertRefused(List.of("a"), List.of(), "undeclared state", transition("a", "x", "b"));
	}

	@Test
	public void refusesAnUnreachableState() {
		assertRefused(List.of("a", "b"), List.of(), "never reaches [b]");
	}

	@Test
	public void refusesTwoTransitionsForOneEvent() {
		assertRefused(List.of("a", "b"), List.of(), "two states", transition("a", "x", "b"), transition("a", "x", "a"));
	}

	@Test
	public void refusesATransitionFromAFinalState() {
		assertRefused(List.of("a"), List.of("a"), "leaves its final state", transition("a", "x", "a"));
	}

	private static void assertRefused(List<String> states, List<String> finalStates, String finding,
			StateChartDocument.Transition... transitions) {
		StateChartDocument document = new StateChartDocument("test", states, "a", finalStates, List.of(transitions));
		assertThat(StateChart.of(document)).isInstanceOfSatisfying(Result.Failure.class,
				(failure) -> assertThat(failure.problem().message()).contains(finding));
	}

	private static StateChartDocument.Transition transition(String from, String event, String to) {
		return new StateChartDocument.Transition(from, event, to);
	}

}
