package io.verbenatrack.fleetd;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.policy.FleetTimings;
import io.verbenatrack.fleet.policy.JobAdmission;
import io.verbenatrack.fleet.state.FleetCodec;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.telemetry.EventLog;
import io.verbenatrack.telemetry.LogEvent;
import io.verbenatrack.telemetry.Metrics;

/**
 * A loop on a log whose outcomes a test chooses.
 */
abstract class ScriptedLoopFixture {

	final FleetCodec codec = new FleetCodec();

	final AtomicInteger terms = new AtomicInteger();

	/** Added to the time of the machine. */
	final AtomicLong clockOffsetNanos = new AtomicLong();

	final List<String> logged = new CopyOnWriteArrayList<>();

	FleetStateMachine stateMachine;

	ScriptedLog log;

	Metrics metrics;

	FleetLoop loop;

	@BeforeMethod
	void startLoop() {
		this.terms.set(0);
		this.clockOffsetNanos.set(0);
		this.logged.clear();
		this.stateMachine = new FleetStateMachine(this.codec);
		this.log = new ScriptedLog(this.stateMachine, this.codec);
		this.metrics = new Metrics();
		EventLog events = (event, fields) -> {
			this.logged.add(event + " " + fields);
			if (event == LogEvent.FLEET_LEADER_BEGAN) {
				this.terms.incrementAndGet();
			}
		};
		this.loop = new FleetLoop(this.log, this.stateMachine, this.codec,
				new FleetTimings(Duration.ofSeconds(6), Duration.ofMillis(250), Duration.ofSeconds(60),
						Duration.ofMillis(200), Duration.ofMillis(500), Duration.ofMinutes(4)),
				new JobAdmission(Long.MAX_VALUE),
				LeaseClock.exact(() -> MonotonicClock.system().nanoTime() + this.clockOffsetNanos.get()),
				InstantSource.system(), events, this.metrics);
		this.loop.start();
	}

	@AfterMethod
	void stop() {
		this.loop.close();
	}

	CompletableFuture<FleetReply> call(FleetCall call) {
		return this.loop.call(call, Duration.ofSeconds(5));
	}

	static FleetReply reply(CompletableFuture<FleetReply> reply) throws Exception {
		return reply.get(5, TimeUnit.SECONDS);
	}

	// Holds the loop in the commit of a call, so that the calls made meanwhile share the
	// next turn.
	CompletableFuture<Void> holdLoop(FleetCall first) throws Exception {
		CompletableFuture<Void> gate = new CompletableFuture<>();
		CompletableFuture<Void> held = new CompletableFuture<>();
		this.log.script = (command) -> {
			this.log.script = this.log::commit;
			held.complete(null);
			return gate.thenCompose((opened) -> this.log.commit(command));
		};
		call(first);
		held.get(5, TimeUnit.SECONDS);
		return gate;
	}

}
