package io.verbenatrack.routing;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.model.ServiceId;

/**
 * An in-memory claim store for a deployment with a single instance. Claims are lost on
 * restart.
 */
public final class LocalClaimStore implements ClaimStore {

	private final InstanceId self;

	private final InstantSource clock;

	private final Duration margin;

	private final int maximumClaims;

	private final Map<Key, Entry> claims = new HashMap<>();

	/**
	 * Creates an empty store.
	 * @param self the instance that holds all claims
	 * @param clock the clock that expires claims
	 * @param margin how long a claim is held after the deadline of its request
	 * @param maximumClaims the largest number of claims held at once
	 */
	public LocalClaimStore(InstanceId self, InstantSource clock, Duration margin, int maximumClaims) {
		this.self = self;
		this.clock = clock;
		this.margin = margin;
		this.maximumClaims = maximumClaims;
	}

	@Override
	public synchronized CompletableFuture<ClaimResult> claim(RequestSpec request, BodyDigest body, AttemptId attempt) {
		return CompletableFuture.completedFuture(claimNow(request, body, attempt));
	}

	private ClaimResult claimNow(RequestSpec request, BodyDigest body, AttemptId attempt) {
		Key key = new Key(request.account(), request.id());
		Entry entry = this.claims.get(key);
		if (entry == null || this.clock.instant().isAfter(entry.expiry)) {
			return grant(key, request, body, attempt);
		}
		if (!entry.service.equals(request.service()) || !entry.body.equals(body)) {
			return new ClaimResult.DifferentRequest();
		}
		entry.extend(request.deadline().plus(this.margin));
		return (entry.answer != null) ? new ClaimResult.Answered(entry.answer)
				: new ClaimResult.AlreadyRunning(this.self, entry.attempt);
	}

	private ClaimResult grant(Key key, RequestSpec request, BodyDigest body, AttemptId attempt) {
		if (this.claims.size() >= this.maximumClaims) {
			Instant now = this.clock.instant();
			this.claims.values().removeIf((entry) -> now.isAfter(entry.expiry));
		}
		if (this.claims.size() >= this.maximumClaims) {
			return new ClaimResult.Unavailable(new Problem(ProblemKind.UNAVAILABLE,
					"All " + this.maximumClaims + " claims are held.", "Send the request again later."));
		}
		this.claims.put(key, new Entry(request.service(), body, attempt, request.deadline().plus(this.margin)));
		return new ClaimResult.Granted();
	}

	@Override
	public synchronized CompletableFuture<Boolean> keepAnswer(RequestSpec request, AttemptId claimed,
			KeptAnswer answer) {
		Entry entry = this.claims.get(new Key(request.account(), request.id()));
		if (entry == null || !entry.attempt.equals(claimed)) {
			return CompletableFuture.completedFuture(false);
		}
		entry.answer = (entry.answer != null) ? entry.answer : answer;
		return CompletableFuture.completedFuture(true);
	}

	@Override
	public synchronized CompletableFuture<Boolean> release(RequestSpec request, AttemptId attempt) {
		Key key = new Key(request.account(), request.id());
		Entry entry = this.claims.get(key);
		boolean released = entry != null && entry.attempt.equals(attempt) && entry.answer == null;
		if (released) {
			this.claims.remove(key);
		}
		return CompletableFuture.completedFuture(released);
	}

	private record Key(AccountId account, RequestId request) {

	}

	private static final class Entry {

		private final ServiceId service;

		private final BodyDigest body;

		private final AttemptId attempt;

		private Instant expiry;

		private KeptAnswer answer;

		private Entry(ServiceId service, BodyDigest body, AttemptId attempt, Instant expiry) {
			this.service = service;
			this.body = body;
			this.attempt = attempt;
			this.expiry = expiry;
		}

		private void extend(Instant later) {
			this.expiry = later.isAfter(this.expiry) ? later : this.expiry;
		}

	}

}
