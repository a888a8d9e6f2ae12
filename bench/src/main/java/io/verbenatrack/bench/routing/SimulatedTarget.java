package io.verbenatrack.bench.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.routing.TargetPhase;
import io.verbenatrack.routing.TargetSpec;

/**
 * Simulated target. It runs as many requests as it has slots and queues the others,
 * including those whose callers have timed out.
 */
final class SimulatedTarget {

	static final ServiceId SERVICE = new ServiceId("jalan");

	static final long MEAN_SERVICE_NANOS = 100 * VirtualClock.NANOS_PER_MILLI;

	static final int SLOTS = 8;

	private static final int CONNECTIONS = 64;

	private final VirtualClock clock;

	private final RandomGenerator random;

	private final TargetSpec spec;

	private final Deque<Runnable> queued = new ArrayDeque<>();

	private int running;

	private int received;

	private long lastReceivedNanos;

	private Mode mode = Mode.SERVING;

	private TargetPhase phase = TargetPhase.SERVING;

	SimulatedTarget(VirtualClock clock, RandomGenerator random, int number, String zone) {
		this.clock = clock;
		this.random = random;
		this.spec = new TargetSpec(new TargetId("t-" + number), SERVICE, new ZoneId(zone), "http://t-" + number, SLOTS,
				CONNECTIONS);
	}

	TargetSpec spec() {
		return this.spec;
	}

	int load() {
		return this.running;
	}

	int received() {
		return this.received;
	}

	long lastReceivedNanos() {
		return this.lastReceivedNanos;
	}

	TargetPhase phase() {
		return this.phase;
	}

	void startDraining() {
		this.phase = TargetPhase.LEAVING;
	}

	void mode(Mode next) {
		this.mode = next;
	}

	/**
	 * Receives a request.
	 * @param answered called when the request is answered
	 * @param failed called when the connection fails
	 */
	void receive(Runnable answered, Runnable failed) {
		this.received++;
		this.lastReceivedNanos = this.clock.now();
		switch (this.mode) {
			case SERVING -> enqueue(answered);
			case FAILING -> this.clock.schedule(VirtualClock.NANOS_PER_MILLI, failed);
			case SILENT -> {
			}
		}
	}

	private void enqueue(Runnable answered) {
		if (this.running < SLOTS) {
			run(answered);
		}
		else {
			this.queued.add(answered);
		}
	}

	private void run(Runnable answered) {
		this.running++;
		// Half of the mean service time is fixed, the other half is exponentially
		// distributed.
		double service = MEAN_SERVICE_NANOS * (0.5 - 0.5 * Math.log(1 - this.random.nextDouble()));
		this.clock.schedule((long) service, () -> {
			this.running--;
			answered.run();
			if (!this.queued.isEmpty()) {
				run(this.queued.poll());
			}
		});
	}

	/**
	 * Behaviour of a target.
	 */
	enum Mode {

		SERVING, FAILING, SILENT

	}

}
