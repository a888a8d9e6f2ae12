package io.verbenatrack.server.leader;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;

import io.verbenatrack.model.WorkerId;

/**
 * Sends actions to workers and retries them until the worker has accepted them or they
 * are out of date.
 */
final class MemberDispatcher {

	private static final Duration RETRY_DELAY = Duration.ofMillis(100);

	private final WorkerPort workers;

	private final ScheduledExecutorService timer;

	private final Function<WorkerId, Optional<String>> urls;

	private final Predicate<MemberAction> isCurrent;

	MemberDispatcher(WorkerPort workers, ScheduledExecutorService timer, Function<WorkerId, Optional<String>> urls,
			Predicate<MemberAction> isCurrent) {
		this.workers = workers;
		this.timer = timer;
		this.urls = urls;
		this.isCurrent = isCurrent;
	}

	/**
	 * Sends an action and retries until the worker has accepted it.
	 * @param action the action
	 */
	void send(MemberAction action) {
		Optional<String> url = this.urls.apply(action.slot().worker());
		if (url.isEmpty()) {
			retryLater(action);
			return;
		}
		this.workers.send(url.get(), action).thenAccept((delivery) -> {
			if (delivery == WorkerPort.Delivery.UNKNOWN) {
				retryLater(action);
			}
		});
	}

	private void retryLater(MemberAction action) {
		if (this.timer.isShutdown()) {
			return;
		}
		this.timer.schedule(() -> {
			if (shouldRetry(action)) {
				send(action);
			}
		}, RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
	}

	private boolean shouldRetry(MemberAction action) {
		// A stop must reach the worker even after the gang is removed, as long as the
		// worker is known.
		if (action.kind() == MemberAction.Kind.STOP) {
			return this.urls.apply(action.slot().worker()).isPresent();
		}
		return this.isCurrent.test(action);
	}

}
