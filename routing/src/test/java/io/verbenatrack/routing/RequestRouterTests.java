package io.verbenatrack.routing;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.RequestOutcome;
import io.verbenatrack.model.RequestSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link RequestRouter} where {@link FaultMatrixTests} does not: hedging, outlier
 * ejection, graceful shutdown and loss of the claim store quorum.
 */
public class RequestRouterTests {

	private static final long MILLI_NANOS = 1_000_000;

	private static final BodyDigest BODY = BodyDigest.of(new byte[0]);

	private SimulatedTargets targets;

	private RequestRouter router;

	private long now;

	private long exchanges;

	@BeforeMethod
	void start() {
		this.targets = new SimulatedTargets(10, 8);
		this.router = new RequestRouter(new InstanceId("i"), SimulatedTargets.ZONE, this.targets, (account) -> 1,
				RoutingSettings.STANDARD, new SplittableRandom(1));
		this.now = 0;
		this.exchanges = 0;
	}

	@Test
	public void requestThatATargetDidNotBeginIsRetriedOnAnotherTarget() {
		RoutingDecision.Dispatch first = dispatch(accept(true));
		advanceAttempt(first, AttemptStep.HEAD_SENT);
		assertThat(endAttempt(first, new AttemptResult.NotBegun())).isEmpty();
		RoutingDecision.Dispatch second = dispatch(advanceTime(100));
		assertThat(second.target()).isNotEqualTo(first.target());
	}

	@Test
	public void lostDispatchIsNotRetriedWhenNotIdempotent() {
		accept(false);
		RoutingDecision.Dispatch first = dispatch(
				handle(new RoutingEvent.ClaimCompleted(new ExchangeId(0), new ClaimResult.Granted())));
		advanceAttempt(first, AttemptStep.HEAD_SENT);
		assertThat(endAttempt(first, new AttemptResult.Lost(LossCause.RESET))).singleElement()
			.isInstanceOfSatisfying(RoutingDecision.Respond.class,
					(response) -> assertThat(response.outcome()).isInstanceOf(RequestOutcome.Unknown.class));
	}

	@Test
	public void unavailableClaimStoreGivesNotRunForFirstSendAndUnknownForResend() {
		assertThat(outcomeOfUnavailableClaim(true)).isInstanceOf(RequestOutcome.NotRun.class);
		assertThat(outcomeOfUnavailableClaim(false)).isInstanceOf(RequestOutcome.Unknown.class);
	}

	private RequestOutcome<AnswerSource> outcomeOfUnavailableClaim(boolean firstSend) {
		ExchangeId id = new ExchangeId(this.exchanges++);
		handle(new RoutingEvent.Accepted(id, spec(false), BODY, 1000 * MILLI_NANOS, true, firstSend));
		return handle(new RoutingEvent.ClaimCompleted(id, new ClaimResult.Unavailable(Outcomes.notDispatched("x"))))
			.stream()
			.map(RoutingDecision.Respond.class::cast)
			.findFirst()
			.orElseThrow()
			.outcome();
	}

	@Test
	public void slowDispatchIsHedgedAfterEnoughSamples() {
		answerMany(50);
		RoutingDecision.Dispatch slow = dispatch(accept(true));
		advanceAttempt(slow, AttemptStep.HEAD_SENT);
		RoutingDecision.Dispatch hedge = dispatch(advanceTime(200));
		advanceAttempt(hedge, AttemptStep.HEAD_SENT);
		List<RoutingDecision> decisions = endAttempt(hedge, new AttemptResult.Answered());
		assertThat(decisions).hasAtLeastOneElementOfType(RoutingDecision.Respond.class)
			.contains(new RoutingDecision.Cancel(slow.attempt()));
		assertThat(endAttempt(slow, new AttemptResult.Answered()))
			.as("decisions on the answer of the cancelled dispatch")
			.isEmpty();
		assertThat(this.router.openExchanges()).isZero();
	}

	@Test
	public void failingTargetIsEjected() {
		for (int i = 0; i < 400; i++) {
			Deque<RoutingDecision.Dispatch> running = new ArrayDeque<>(dispatches(accept(true)));
			while (!running.isEmpty()) {
				RoutingDecision.Dispatch dispatch = running.pop();
				advanceAttempt(dispatch, AttemptStep.HEAD_SENT);
				boolean failing = dispatch.target().id().value().equals("t-3");
				running.addAll(dispatches(advanceTime(10)));
				running.addAll(dispatches(endAttempt(dispatch,
						failing ? new AttemptResult.Lost(LossCause.RESET) : new AttemptResult.Answered())));
			}
			dispatches(advanceTime(50)).forEach((retry) -> endAttempt(retry, new AttemptResult.NotSent("not needed")));
		}
		assertThat(this.router.ejectedTargets()).isEqualTo(1);
	}

	@Test
	public void noTargetIsEjectedWhenAllFail() {
		for (int i = 0; i < 400; i++) {
			dispatches(accept(true)).forEach((dispatch) -> endAttempt(dispatch, new AttemptResult.NotSent("cut off")));
			dispatches(advanceTime(20))
				.forEach((dispatch) -> endAttempt(dispatch, new AttemptResult.NotSent("cut off")));
		}
		assertThat(this.router.ejectedTargets()).isZero();
	}

	@Test
	public void drainCompletesWhenNoRequestIsOpen() {
		RoutingDecision.Dispatch running = dispatch(accept(true));
		advanceAttempt(running, AttemptStep.HEAD_SENT);
		assertThat(handle(new RoutingEvent.DrainBegan(10_000 * MILLI_NANOS))).isEmpty();
		assertThat(accept(true)).hasOnlyElementsOfType(RoutingDecision.Respond.class);
		assertThat(endAttempt(running, new AttemptResult.Answered()))
			.hasAtLeastOneElementOfType(RoutingDecision.Drained.class);
	}

	private void answerMany(int count) {
		for (int i = 0; i < count; i++) {
			RoutingDecision.Dispatch dispatch = dispatch(accept(true));
			advanceAttempt(dispatch, AttemptStep.HEAD_SENT);
			this.now += 10 * MILLI_NANOS;
			endAttempt(dispatch, new AttemptResult.Answered());
		}
	}

	private List<RoutingDecision> accept(boolean idempotent) {
		return handle(new RoutingEvent.Accepted(new ExchangeId(this.exchanges++), spec(idempotent), BODY,
				this.now + 1000 * MILLI_NANOS, true, false));
	}

	private RequestSpec spec(boolean idempotent) {
		return new RequestSpec(new RequestId("r-" + this.exchanges), SimulatedTargets.SERVICE, new AccountId("vans"),
				idempotent, Instant.EPOCH);
	}

	private List<RoutingDecision> advanceTime(long millis) {
		this.now += millis * MILLI_NANOS;
		return handle(new RoutingEvent.Ticked());
	}

	private void advanceAttempt(RoutingDecision.Dispatch dispatch, AttemptStep step) {
		handle(new RoutingEvent.AttemptAdvanced(dispatch.attempt(), step));
	}

	private List<RoutingDecision> endAttempt(RoutingDecision.Dispatch dispatch, AttemptResult result) {
		return handle(new RoutingEvent.AttemptEnded(dispatch.attempt(), result));
	}

	private List<RoutingDecision> handle(RoutingEvent event) {
		return new ArrayList<>(this.router.handle(event, this.now));
	}

	private static List<RoutingDecision.Dispatch> dispatches(List<RoutingDecision> decisions) {
		return decisions.stream()
			.filter(RoutingDecision.Dispatch.class::isInstance)
			.map(RoutingDecision.Dispatch.class::cast)
			.toList();
	}

	private static RoutingDecision.Dispatch dispatch(List<RoutingDecision> decisions) {
		return dispatches(decisions).getFirst();
	}

}
