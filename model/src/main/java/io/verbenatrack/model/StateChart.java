package io.verbenatrack.model;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;

/**
 * A finite state machine, defined by a state chart: a state and an event determine the
 * next state.
 *
 * <p>
 * A chart is validated before use: every state is declared and reachable from the initial
 * state, final states have no outgoing transitions, and each event has at most one
 * transition from a state.
 */
public final class StateChart {

	private static final YAMLMapper YAML = new YAMLMapper();

	private final StateChartDocument document;

	private final Map<String, Map<String, String>> nextStates;

	private final Set<String> events;

	private StateChart(StateChartDocument document, Map<String, Map<String, String>> nextStates, Set<String> events) {
		this.document = document;
		this.nextStates = nextStates;
		this.events = events;
	}

	/**
	 * Loads a chart that is packaged as a resource of a module.
	 * @param anchor a class of the module that contains the chart
	 * @param resource the absolute path of the YAML file, such as
	 * {@code /charts/job.yaml}
	 * @return the chart
	 * @throws StateChartException if the chart is missing or malformed
	 */
	public static StateChart load(Class<?> anchor, String resource) {
		try (InputStream input = anchor.getResourceAsStream(resource)) {
			if (input == null) {
				throw new StateChartException(new Problem(ProblemKind.NOT_FOUND,
						"There is no state chart " + resource + ".", "Package it beside " + anchor.getName() + "."));
			}
			return validate(YAML.readValue(input, StateChartDocument.class));
		}
		catch (IOException ex) {
			throw new StateChartException(new Problem(ProblemKind.INVALID,
					"The state chart " + resource + " cannot be read: " + ex.getMessage(), "Correct its YAML."));
		}
	}

	/**
	 * Validates a chart.
	 * @param document the chart as read from its file
	 * @return the chart, or the first problem found
	 */
	public static Result<StateChart> of(StateChartDocument document) {
		try {
			return Result.success(validate(document));
		}
		catch (StateChartException ex) {
			return new Result.Failure<>(ex.problem());
		}
	}

	private static StateChart validate(StateChartDocument document) {
		Set<String> states = new LinkedHashSet<>(document.states());
		require(document.name() != null, document, "has no name", "Add 'name'");
		require(states.size() == document.states().size(), document, "declares a state twice", "Remove one of them");
		require(states.contains(document.initialState()), document, "starts in an undeclared state",
				"Set 'initial' to one of " + states);
		require(states.containsAll(document.finalStates()), document, "ends in an undeclared state",
				"Set 'final' to some of " + states);
		Map<String, Map<String, String>> nextStates = new LinkedHashMap<>();
		Set<String> events = new LinkedHashSet<>();
		for (StateChartDocument.Transition transition : document.transitions()) {
			addTransition(document, states, transition, nextStates);
			events.add(transition.event());
		}
		requireReachable(document, nextStates);
		return new StateChart(document, nextStates, events);
	}

	private static void addTransition(StateChartDocument document, Set<String> states,
			StateChartDocument.Transition transition, Map<String, Map<String, String>> nextStates) {
		require(states.contains(transition.from()) && states.contains(transition.to()), document,
				"has the transition " + transition + " with an undeclared state", "Declare it under 'states'");
		require(transition.event() != null, document, "has the transition " + transition + " without an event",
				"Name its event");
		require(!document.finalStates().contains(transition.from()), document,
				"leaves its final state " + transition.from(), "Remove " + transition);
		String previous = nextStates.computeIfAbsent(transition.from(), (from) -> new LinkedHashMap<>())
			.put(transition.event(), transition.to());
		require(previous == null, document,
				"leads from " + transition.from() + " to two states on " + transition.event(), "Keep one of them");
	}

	private static void requireReachable(StateChartDocument document, Map<String, Map<String, String>> nextStates) {
		Set<String> reachable = new HashSet<>();
		Deque<String> pending = new ArrayDeque<>(List.of(document.initialState()));
		while (!pending.isEmpty()) {
			String state = pending.pop();
			if (reachable.add(state)) {
				pending.addAll(nextStates.getOrDefault(state, Map.of()).values());
			}
		}
		Set<String> unreachable = new LinkedHashSet<>(document.states());
		unreachable.removeAll(reachable);
		require(unreachable.isEmpty(), document, "never reaches " + unreachable, "Add a transition to each or drop it");
	}

	private static void require(boolean condition, StateChartDocument document, String finding, String remedy) {
		if (!condition) {
			throw new StateChartException(new Problem(ProblemKind.INVALID,
					"State chart '" + document.name() + "' " + finding + ".", remedy + "."));
		}
	}

	/**
	 * Returns the name of the chart.
	 * @return the name
	 */
	public String name() {
		return this.document.name();
	}

	/**
	 * Returns the state in which the state machine starts.
	 * @return the initial state
	 */
	public String initialState() {
		return this.document.initialState();
	}

	/**
	 * Returns whether a state is final, that is, has no outgoing transitions.
	 * @param state the state
	 * @return true if the state is final
	 */
	public boolean isFinal(String state) {
		return this.document.finalStates().contains(state);
	}

	/**
	 * Returns the next state after an event.
	 * @param state the current state
	 * @param event the event
	 * @return the next state, or empty if the state has no transition for the event
	 */
	public Optional<String> next(String state, String event) {
		return Optional.ofNullable(this.nextStates.getOrDefault(state, Map.of()).get(event));
	}

	/**
	 * Returns all states, in the order of the file.
	 * @return the states
	 */
	public List<String> states() {
		return this.document.states();
	}

	/**
	 * Returns the states that have no outgoing transitions.
	 * @return the final states
	 */
	public List<String> finalStates() {
		return this.document.finalStates();
	}

	/**
	 * Returns all events, in the order of the file.
	 * @return the events
	 */
	public List<String> events() {
		return List.copyOf(this.events);
	}

	/**
	 * Returns all transitions, in the order of the file.
	 * @return the transitions
	 */
	public List<StateChartDocument.Transition> transitions() {
		return this.document.transitions();
	}

}
