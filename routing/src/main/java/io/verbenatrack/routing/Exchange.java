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

	private final Map<AttemptId, Attempt> openAttempts = new LinkedHashMap<>();

	private final Set<TargetId> triedTargets = new HashSet<>();

	private String state = CHART.initialState();

	// The calls to the claim store that must end before the exchange is removed.
	private int storeCalls;

	private int attemptsMade;

	private int rechecks;

	private boolean claimOutstanding;

	private boolean claimHeld;

	private boolean mayHaveRun;

	private boolean callerGone;

	private AttemptId claimAttempt;

	private Problem refusal;

	private RequestOutcome<AnswerSource> pendingOutcome;

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

	boolean isInState(String name) {
		return this.state.equals(name);
	}

	boolean isResponded() {
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
	boolean transition(String event) {
		String next = CHART.next(this.state, event).orElse(null);
		if (next == null) {
			return false;
		}
		this.state = next;
		return true;
	}

	Map<AttemptId, Attempt> openAttempts() {
		return this.openAttempts;
	}

	Set<TargetId> triedTargets() {
		return this.triedTargets;
	}

	int attemptsMade() {
		return this.attemptsMade;
	}

	void addAttempt(Attempt attempt) {
		this.openAttempts.put(attempt.id(), attempt);
		this.triedTargets.add(attempt.target().spec().id());
		this.attemptsMade++;
	}

	boolean anyMayHaveReachedTarget() {
		return this.openAttempts.values().stream().anyMatch(Attempt::mayHaveReachedTarget);
	}

	boolean mayHaveRun() {
		return this.mayHaveRun;
	}

	void markMayHaveRun() {
		this.mayHaveRun = true;
	}

	AttemptId claimAttempt() {
		return this.claimAttempt;
	}

	void setClaimAttempt(AttemptId attempt) {
		this.claimAttempt = attempt;
	}

	void claimRequested() {
		this.claimOutstanding = true;
		storeCallStarted();
	}

	/**
	 * Records the reply of the claim store to a claim.
	 * @return whether a reply was outstanding, {@code false} for a duplicate reply
	 */
	boolean claimReplied() {
		boolean awaited = this.claimOutstanding;
		this.claimOutstanding = false;
		if (awaited) {
			storeCallEnded();
		}
		return awaited;
	}

	boolean claimHeld() {
		return this.claimHeld;
	}

	void setClaimHeld(boolean held) {
		this.claimHeld = held;
	}

	void storeCallStarted() {
		this.storeCalls++;
	}

	void storeCallEnded() {
		this.storeCalls--;
	}

	int nextRecheck() {
		return this.rechecks++;
	}

	boolean waitedForEarlierSend() {
		return this.rechecks > 0;
	}

	boolean isFirstSend() {
		return this.accepted.firstSend() && !waitedForEarlierSend();
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

	void setRefusal(Problem problem) {
		this.refusal = problem;
	}

	RequestOutcome<AnswerSource> pendingOutcome() {
		return this.pendingOutcome;
	}

	void setPendingOutcome(RequestOutcome<AnswerSource> outcome) {
		this.pendingOutcome = outcome;
	}

	boolean isFinished() {
		return isResponded() && this.openAttempts.isEmpty() && this.storeCalls == 0;
	}

}
