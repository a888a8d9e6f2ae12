package io.verbenatrack.model;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A state chart as read from its file, not yet validated.
 *
 * @param name the name of the chart
 * @param states all states
 * @param initialState the state in which the state machine starts
 * @param finalStates the states that have no outgoing transitions
 * @param transitions the transitions between states
 */
public record StateChartDocument(String name, List<String> states, @JsonProperty("initial") String initialState,
		@JsonProperty("final") List<String> finalStates, List<Transition> transitions) {

	public StateChartDocument {
		states = (states != null) ? List.copyOf(states) : List.of();
		finalStates = (finalStates != null) ? List.copyOf(finalStates) : List.of();
		transitions = (transitions != null) ? List.copyOf(transitions) : List.of();
	}

	/**
	 * A transition between two states.
	 *
	 * @param from the source state
	 * @param event the event that triggers the transition
	 * @param to the destination state
	 */
	public record Transition(String from, String event, String to) {

	}

}
