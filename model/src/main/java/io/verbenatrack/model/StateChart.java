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
 * Interprets a state chart: a state and an event give the next state.
 *
 * <p>
 * A chart is checked before it is used: every state is declared and reachable from the
 * initial one, no final state is left, and an event leads from a state to one place only.
 */
public final class StateChart {

	private static final YAMLMapper YAML = new YAMLMapper();

	private final StateChartDocument document;

	private final Map<String, Map<String, String>> targets;

	private final Set<String> events;

	private StateChart(StateChartDocument document, Map<String, Map<String, String>> targets, Set<String> events) {
		this.document = document;
		this.targets = targets;
		this.events = events;
	}

	/**
	 * Loads a chart that is packaged beside a class.
	 * @param anchor a class of the module that has the chart
	 * @param resource the absolute path of the YAML file, such as
	 * {@code /charts/job.yaml}
	 * @return the chart
	 * @throws StateChartException when the chart is missing or malformed
	 */
	public static StateChart load(Class<?> anchor, String resource) {
		try (InputStream input = anchor.getResourceAsStream(resource)) {
			if (input == null) {
				throw new StateChartException(new Problem(ProblemKind.NOT_FOUND,
						"There is no state chart " + resource + ".", "Package it beside " + anchor.getName() + "."));
			}
			return checked(YAML.readValue(input, StateChartDocument.class));
		}
		catch (IOException ex) {
			throw new StateChartException(new Problem(ProblemKind.INVALID,
					"The state chart " + resource + " cannot be read: " + ex.getMessage(), "Correct its YAML."));
		}
	}

	/**
	 * Checks a chart.
	 * @param document the chart as written
	 * @return the chart, or what is wrong with it
	 */
	public static Result<StateChart> of(StateChartDocument document) {
		try {
			return Result.success(checked(document));
		}
		catch (StateChartException ex) {
			return new Result.Failure<>(ex.problem());
		}
	}

	private static StateChart checked(StateChartDocument document) {
		Set<String> states = new LinkedHashSet<>(document.states());
		require(document.name() != null, document, "has no name", "Add 'name'");
		require(states.size() == document.states().size(), document, "declares a state twice", "Remove one of them");
		require(states.contains(document.initialState()), document, "starts in an undeclared state",
				"Set 'initial' to one of " + states);
		require(states.containsAll(document.finalStates()), document, "ends in an undeclared state",
				"Set 'final' to some of " + states);
		Map<String, Map<String, String>> targets = new LinkedHashMap<>();
		Set<String> events = new LinkedHashSet<>();
		for (StateChartDocument.Transition transition : document.transitions()) {
			addTransition(document, states, transition, targets);
			events.add(transition.event());
		}
		requireReachable(document, targets);
		return new StateChart(document, targets, events);
	}

	private static void addTransition(StateChartDocument document, Set<String> states,
			StateChartDocument.Transition transition, Map<String, Map<String, String>> targets) {
		require(states.contains(transition.from()) && states.contains(transition.to()), document,
				"has the transition " + transition + " with an undeclared state", "Declare it under 'states'");
		require(transition.event() != null, document, "has the transition " + transition + " without an event",
				"Name its event");
		require(!document.finalStates().contains(transition.from()), document,
				"leaves its final state " + transition.from(), "Remove " + transition);
		String earlier = targets.computeIfAbsent(transition.from(), (from) -> new LinkedHashMap<>())
			.put(transition.event(), transition.to());
		require(earlier == null, document,
				"leads from " + transition.from() + " to two states on " + transition.event(), "Keep one of them");
	}

	private static void requireReachable(StateChartDocument document, Map<String, Map<String, String>> targets) {
		Set<String> reached = new HashSet<>();
		Deque<String> open = new ArrayDeque<>(List.of(document.initialState()));
		while (!open.isEmpty()) {
			String state = open.pop();
			if (reached.add(state)) {
				open.addAll(targets.getOrDefault(state, Map.of()).values());
			}
		}
		Set<String> unreachable = new LinkedHashSet<>(document.states());
		unreachable.removeAll(reached);
		require(unreachable.isEmpty(), document, "never reaches " + unreachable, "Add a transition to each or drop it");
	}

	private static void require(boolean holds, StateChartDocument document, String finding, String remedy) {
		if (!holds) {
			throw new StateChartException(new Problem(ProblemKind.INVALID,
					"State chart '" + document.name() + "' " + finding + ".", remedy + "."));
		}
	}

	/**
	 * The name of the chart.
	 * @return the name
	 */
	public String name() {
		return this.document.name();
	}

	/**
	 * Where each life starts.
	 * @return the initial state
	 */
	public String initialState() {
		return this.document.initialState();
	}

	/**
	 * Whether nothing leaves a state.
	 * @param state the state
	 * @return whether it is final
	 */
	public boolean isFinal(String state) {
		return this.document.finalStates().contains(state);
	}

	/**
	 * What an event does in a state.
	 * @param state the present state
	 * @param event what happened
	 * @return the next state, or empty when the event means nothing in this state
	 */
	public Optional<String> next(String state, String event) {
		return Optional.ofNullable(this.targets.getOrDefault(state, Map.of()).get(event));
	}

	/**
	 * Every state, in the order of the file.
	 * @return the states
	 */
	public List<String> states() {
		return this.document.states();
	}

	/**
	 * The states that nothing leaves.
	 * @return the final states
	 */
	public List<String> finalStates() {
		return this.document.finalStates();
	}

	/**
	 * Every event, in the order of the file.
	 * @return the events
	 */
	public List<String> events() {
		return List.copyOf(this.events);
	}

	/**
	 * Every arrow, in the order of the file.
	 * @return the transitions
	 */
	public List<StateChartDocument.Transition> transitions() {
		return this.document.transitions();
	}

}
