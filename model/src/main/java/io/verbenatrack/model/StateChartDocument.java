package io.verbenatrack.model;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A state chart as it is written in a file, not checked yet.
 *
 * @param name the name of the chart
 * @param states every state
 * @param initialState where each life starts
 * @param finalStates states that nothing leaves
 * @param transitions what each event does
 */
public record StateChartDocument(String name, List<String> states, @JsonProperty("initial") String initialState,
		@JsonProperty("final") List<String> finalStates, List<Transition> transitions) {

	public StateChartDocument {
		states = (states != null) ? List.copyOf(states) : List.of();
		finalStates = (finalStates != null) ? List.copyOf(finalStates) : List.of();
		transitions = (transitions != null) ? List.copyOf(transitions) : List.of();
	}

	/**
	 * One arrow of a chart.
	 *
	 * @param from the state that is left
	 * @param event what happens
	 * @param to the state that is entered
	 */
	public record Transition(String from, String event, String to) {

	}

}
