package io.verbenatrack.server.routing;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BiConsumer;

import org.jctools.queues.atomic.MpscAtomicArrayQueue;

import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.routing.RequestRouter;
import io.verbenatrack.routing.RoutingDecision;
import io.verbenatrack.routing.RoutingEvent;

/**
 * The event loop of the router: a thread that takes events from a bounded ring and is the
 * only one to access the router.
 */
final class RoutingLoop implements AutoCloseable {

	private static final int RING_CAPACITY = 16_384;

	private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

	private static final long JOIN_TIMEOUT_MILLIS = 5_000;

	private final MpscAtomicArrayQueue<RoutingEvent> ring = new MpscAtomicArrayQueue<>(RING_CAPACITY);

	private final RequestRouter router;

	private final MonotonicClock clock;

	private final BiConsumer<RoutingEvent, List<RoutingDecision>> decisionExecutor;

	private final Runnable maintenance;

	private final Thread thread;

	private volatile boolean parked;

	private volatile boolean closed;

	/**
	 * Creates a loop that is not started.
	 * @param router decides on the events
	 * @param clock the monotonic clock
	 * @param decisionExecutor executes the decisions, on the thread of the loop
	 * @param maintenance runs at each tick, on the thread of the loop
	 */
	RoutingLoop(RequestRouter router, MonotonicClock clock,
			BiConsumer<RoutingEvent, List<RoutingDecision>> decisionExecutor, Runnable maintenance) {
		this.router = router;
		this.clock = clock;
		this.decisionExecutor = decisionExecutor;
		this.maintenance = maintenance;
		this.thread = new Thread(this::run, "verbenatrack-routing");
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	/**
	 * Offers an event without waiting.
	 * @param event the event
	 * @return whether the ring had room
	 */
	boolean offer(RoutingEvent event) {
		boolean offered = this.ring.offer(event);
		if (this.parked) {
			LockSupport.unpark(this.thread);
		}
		return offered;
	}

	/**
	 * Adds an event that must not be lost; spins while the ring is full. On the thread of
	 * the loop, which would wait for itself, the event is handled immediately instead.
	 * @param event the event
	 */
	void put(RoutingEvent event) {
		while (!offer(event) && !this.closed) {
			if (Thread.currentThread() == this.thread) {
				handle(event);
				return;
			}
			Thread.onSpinWait();
		}
	}

	private void run() {
		long nextTick = this.clock.nanoTime();
		while (!this.closed) {
			RoutingEvent event = this.ring.poll();
			if (event != null) {
				handle(event);
			}
			nextTick = tickOrPark(nextTick, event == null);
		}
	}

	private long tickOrPark(long nextTick, boolean idle) {
		long now = this.clock.nanoTime();
		if (now - nextTick >= 0) {
			handle(new RoutingEvent.Ticked());
			this.maintenance.run();
			return now + TICK_NANOS;
		}
		long wakeUp = this.router.nextWakeUpNanos().orElse(nextTick);
		if (now - wakeUp >= 0) {
			handle(new RoutingEvent.Ticked());
		}
		else if (idle) {
			park(Math.min(nextTick, wakeUp) - now);
		}
		return nextTick;
	}

	private void park(long nanos) {
		this.parked = true;
		if (this.ring.isEmpty() && nanos > 0) {
			LockSupport.parkNanos(this, nanos);
		}
		this.parked = false;
	}

	private void handle(RoutingEvent event) {
		this.decisionExecutor.accept(event, this.router.handle(event, this.clock.nanoTime()));
	}

	@Override
	public void close() throws InterruptedException {
		this.closed = true;
		LockSupport.unpark(this.thread);
		this.thread.join(JOIN_TIMEOUT_MILLIS);
	}

}
