package io.verbenatrack.routing;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Injects every fault at every step of the state charts, alone and in pairs, and compares
 * the requests that the targets ran with the outcomes reported to the caller. Guards
 * against a request that ran but is reported as not run, and against a request that is
 * not idempotent running twice.
 */
public class FaultMatrixTests {

	private static final Set<String> FAILED_ENDS = Set.of("not-sent", "not-begun", "lost");

	private Map<String, Map<String, Map<String, String>>> matrix;

	@BeforeClass
	void loadExpectations() throws IOException {
		try (InputStream input = FaultMatrixTests.class.getResourceAsStream("/fault-matrix.yaml")) {
			this.matrix = new YAMLMapper().readValue(input, new TypeReference<>() {
			});
		}
	}

	private static List<String> steps() {
		Set<String> steps = new LinkedHashSet<>(List.of("accepted", "claimed", "queued"));
		assertThat(Exchange.CHART.states()).contains("accepted", "claiming", "queued");
		steps.addAll(Attempt.CHART.states());
		steps.removeAll(FAILED_ENDS);
		return List.copyOf(steps);
	}

	@Test
	public void everyCellHasAnExpectation() {
		for (String kind : List.of("idempotent", "not-idempotent")) {
			for (String step : steps()) {
				for (Fault fault : Fault.values()) {
					assertThat(expectation(kind, step, fault)).as(kind + " " + step + " " + fault).isNotBlank();
				}
			}
		}
	}

	private String expectation(String kind, String step, Fault fault) {
		return this.matrix.getOrDefault(kind, Map.of()).getOrDefault(step, Map.of()).get(fault.key());
	}

	@Test
	public void everyFaultAtEveryStepEndsAsExpected() {
		List<String> violations = new ArrayList<>();
		for (boolean idempotent : List.of(true, false)) {
			for (String step : steps()) {
				for (Fault fault : Fault.values()) {
					String label = label(idempotent, step, fault);
					SimulatedRun run = start(idempotent, step.equals("answer-half"), step, fault).run();
					String expected = expectation(idempotent ? "idempotent" : "not-idempotent", step, fault);
					if (!String.join(" ", run.outcomes()).equals(expected)) {
						violations.add(label + " expected outcomes " + expected + " but got " + run.outcomes());
					}
					check(label, idempotent, run, violations);
				}
			}
		}
		assertThat(violations).as("seed " + SimulatedRun.SEED).isEmpty();
	}

	@Test
	public void anyTwoFaultsKeepTheInvariants() {
		List<String> violations = new ArrayList<>();
		List<String> steps = steps();
		int cells = 0;
		for (boolean idempotent : List.of(true, false)) {
			for (int first = 0; first < steps.size(); first++) {
				for (int second = first; second < steps.size(); second++) {
					cells += runPairs(idempotent, steps.get(first), steps.get(second), violations);
				}
			}
		}
		System.out.println("Fault pairs played: " + cells + ", seed " + SimulatedRun.SEED);
		assertThat(violations).as("seed " + SimulatedRun.SEED).isEmpty();
	}

	private int runPairs(boolean idempotent, String firstStep, String secondStep, List<String> violations) {
		int cells = 0;
		for (Fault first : Fault.values()) {
			for (Fault second : Fault.values()) {
				boolean large = firstStep.equals("answer-half") || secondStep.equals("answer-half");
				SimulatedRun run = start(idempotent, large, firstStep, first);
				run.inject(secondStep, second);
				run.run();
				String label = label(idempotent, firstStep, first) + " + " + secondStep + " " + second;
				check(label, idempotent, run, violations);
				if (first.isHarmless() && second.isHarmless() && !run.outcomes().equals(List.of("answered"))) {
					violations.add(label + ": both faults are harmless, but the outcomes are " + run.outcomes());
				}
				cells++;
			}
		}
		return cells;
	}

	private static SimulatedRun start(boolean idempotent, boolean large, String step, Fault fault) {
		SimulatedRun run = new SimulatedRun(idempotent, large);
		run.inject(step, fault);
		return run;
	}

	private static String label(boolean idempotent, String step, Fault fault) {
		return (idempotent ? "idempotent " : "not idempotent ") + step + " " + fault;
	}

	private static void check(String label, boolean idempotent, SimulatedRun run, List<String> violations) {
		if (run.outcomes().contains("not-run") && !run.runs().isEmpty()) {
			violations.add(label + " reported " + run.outcomes() + " but ran " + run.runs());
		}
		if (run.outcomes().contains("answered") && run.runs().isEmpty()) {
			violations.add(label + " reported an answer, but no target ran the request");
		}
		if (!idempotent && run.runs().size() > 1) {
			violations.add(label + " ran more than once: " + run.runs());
		}
		if (run.outcomes().isEmpty() || run.outcomes().size() > 2) {
			violations.add(label + " reported " + run.outcomes() + ", expected one or two outcomes");
		}
		if (run.openExchanges() != 0) {
			violations.add(label + " left " + run.openExchanges() + " exchanges open");
		}
	}

}
