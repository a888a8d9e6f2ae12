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
		return this.matrix.getOrDefault(kind, Map.of()).getOrDefault(step, Map.of()).get(fault.text());
	}

	@Test
	public void everyFaultAtEveryStepEndsAsExpected() {
		List<String> wrong = new ArrayList<>();
		for (boolean idempotent : List.of(true, false)) {
			for (String step : steps()) {
				for (Fault fault : Fault.values()) {
					String cell = cell(idempotent, step, fault);
					SimulatedRun run = start(idempotent, step.equals("answer-half"), step, fault).play();
					String expected = expectation(idempotent ? "idempotent" : "not-idempotent", step, fault);
					if (!String.join(" ", run.told()).equals(expected)) {
						wrong.add(cell + " expected outcomes " + expected + " but got " + run.told());
					}
					check(cell, idempotent, run, wrong);
				}
			}
		}
		assertThat(wrong).as("seed " + SimulatedRun.SEED).isEmpty();
	}

	@Test
	public void anyTwoFaultsKeepThePromises() {
		List<String> wrong = new ArrayList<>();
		List<String> steps = steps();
		int cells = 0;
		for (boolean idempotent : List.of(true, false)) {
			for (int first = 0; first < steps.size(); first++) {
				for (int second = first; second < steps.size(); second++) {
					cells += playPairs(idempotent, steps.get(first), steps.get(second), wrong);
				}
			}
		}
		System.out.println("Fault pairs played: " + cells + ", seed " + SimulatedRun.SEED);
		assertThat(wrong).as("seed " + SimulatedRun.SEED).isEmpty();
	}

	private int playPairs(boolean idempotent, String firstStep, String secondStep, List<String> wrong) {
		int cells = 0;
		for (Fault first : Fault.values()) {
			for (Fault second : Fault.values()) {
				boolean large = firstStep.equals("answer-half") || secondStep.equals("answer-half");
				SimulatedRun run = start(idempotent, large, firstStep, first);
				run.fault(secondStep, second);
				run.play();
				String cell = cell(idempotent, firstStep, first) + " + " + secondStep + " " + second;
				check(cell, idempotent, run, wrong);
				if (first.harmless() && second.harmless() && !run.told().equals(List.of("answered"))) {
					wrong.add(cell + ": both faults are harmless, but the outcomes are " + run.told());
				}
				cells++;
			}
		}
		return cells;
	}

	private static SimulatedRun start(boolean idempotent, boolean large, String step, Fault fault) {
		SimulatedRun run = new SimulatedRun(idempotent, large);
		run.fault(step, fault);
		return run;
	}

	private static String cell(boolean idempotent, String step, Fault fault) {
		return (idempotent ? "idempotent " : "not idempotent ") + step + " " + fault;
	}

	private static void check(String cell, boolean idempotent, SimulatedRun run, List<String> wrong) {
		if (run.told().contains("not-run") && !run.runs().isEmpty()) {
			wrong.add(cell + " reported " + run.told() + " but ran " + run.runs());
		}
		if (run.told().contains("answered") && run.runs().isEmpty()) {
			wrong.add(cell + " reported an answer, but no target ran the request");
		}
		if (!idempotent && run.runs().size() > 1) {
			wrong.add(cell + " ran more than once: " + run.runs());
		}
		if (run.told().isEmpty() || run.told().size() > 2) {
			wrong.add(cell + " reported " + run.told() + ", expected one or two outcomes");
		}
		if (run.leftOpen() != 0) {
			wrong.add(cell + " left " + run.leftOpen() + " exchanges open");
		}
	}

}
