package io.verbenatrack.routing;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.RequestOutcome;
import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.model.StateChart;
import io.verbenatrack.model.TargetId;

/**
 * One send of a request, from its arrival on this instance until its outcome is reported
 * and all its dispatches and claim store calls have ended.
 */
final class Exchange {

	static final StateChart CHART = StateChart.load(Exchange.class, "/charts/request.yaml");

	private final RoutingEvent.Accepted accepted;

	private final Map<AttemptId, Attempt> open = new LinkedHashMap<>();

	private final Set<TargetId> tried = new HashSet<>();

	private String state = CHART.initialState();

	// The calls to the claim store that must end before the exchange is removed.
	private int storeSteps;

	private int attemptsMade;

	private int rechecks;

	private boolean claimOutstanding;

	private boolean claimHeld;

	private boolean mayHaveRun;

	private boolean callerGone;

	private AttemptId claimed;

	private Problem refusal;

	private RequestOutcome<AnswerSource> pending;

	Exchange(RoutingEvent.Accepted accepted) {
		this.accepted = accepted;
	}

	ExchangeId id() {
		return this.accepted.exchange();
	}

	RequestSpec request() {
		return this.accepted.request();
	}

	RoutingEvent.Accepted accepted() {
		return this.accepted;
	}

	boolean idempotent() {
		return this.accepted.request().idempotent();
	}

	long remainingNanos(long nowNanos) {
		return this.accepted.deadlineNanos() - nowNanos;
	}

	boolean is(String name) {
		return this.state.equals(name);
	}

	boolean isTold() {
		return CHART.isFinal(this.state);
	}

	String state() {
		return this.state;
	}

	/**
	 * Applies an event of the request state chart.
	 * @param event the event
	 * @return whether the current state has a transition for the event
	 */
	boolean move(String event) {
		String next = CHART.next(this.state, event).orElse(null);
		if (next == null) {
			return false;
		}
		this.state = next;
		return true;
	}

	Map<AttemptId, Attempt> open() {
		return this.open;
	}

	Set<TargetId> tried() {
		return this.tried;
	}

	int attemptsMade() {
		return this.attemptsMade;
	}

	void begin(Attempt attempt) {
		this.open.put(attempt.id(), attempt);
		this.tried.add(attempt.target().spec().id());
		this.attemptsMade++;
	}

	boolean anyBegun() {
		return this.open.values().stream().anyMatch(Attempt::isBegun);
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	void markMayHaveRun() {
		this.mayHaveRun = true;
	}

	AttemptId claimed() {
		return this.claimed;
	}

	void claimFor(AttemptId attempt) {
		this.claimed = attempt;
	}

	void claimBegan() {
		this.claimOutstanding = true;
		storeStepBegan();
	}

	/**
	 * Records the reply of the claim store to a claim.
	 * @return whether a reply was outstanding, {@code false} for a duplicate reply
	 */
	boolean claimEnded() {
		boolean awaited = this.claimOutstanding;
		this.claimOutstanding = false;
		if (awaited) {
			storeStepEnded();
		}
		return awaited;
	}

	boolean claimHeld() {
		return this.claimHeld;
	}

	void holdClaim(boolean held) {
		this.claimHeld = held;
	}

	void storeStepBegan() {
		this.storeSteps++;
	}

	void storeStepEnded() {
		this.storeSteps--;
	}

	int nextRecheck() {
		return this.rechecks++;
	}

	boolean waited() {
		return this.rechecks > 0;
	}

	boolean isKnownFirst() {
		return this.accepted.firstSend() && !waited();
	}

	boolean callerGone() {
		return this.callerGone;
	}

	void markCallerGone() {
		this.callerGone = true;
	}

	Problem refusal() {
		return this.refusal;
	}

	void refuseWith(Problem problem) {
		this.refusal = problem;
	}

	RequestOutcome<AnswerSource> pending() {
		return this.pending;
	}

	void pend(RequestOutcome<AnswerSource> outcome) {
		this.pending = outcome;
	}

	boolean isOver() {
		return isTold() && this.open.isEmpty() && this.storeSteps == 0;
	}

}
