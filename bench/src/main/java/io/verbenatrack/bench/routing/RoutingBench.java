package io.verbenatrack.bench.routing;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.model.AccountId;

/**
 * Compares request routing with baseline strategies.
 */
public final class RoutingBench {

	private static final long WARM_UP_NANOS = 3 * VirtualClock.NANOS_PER_SECOND;

	private static final List<Double> LOADS = List.of(0.5, 1.0, 2.0, 4.0);

	private static final AccountId ACCOUNT = new AccountId("catering");

	private static final double IDEMPOTENT_SHARE = 0.5;

	private static final double BROWNOUT_LOAD = 0.4;

	private static final double STEADY_LOAD = 0.5;

	private RoutingBench() {
	}

	/**
	 * Runs the whole bench.
	 * @param options the options
	 * @return the results
	 * @throws Exception if the loopback measurement fails
	 */
	public static RoutingReport run(RoutingBenchOptions options) throws Exception {
		List<RoutingReport.Load> loads = new ArrayList<>();
		List<RoutingReport.BrownOut> brownOuts = new ArrayList<>();
		for (SimulatedFleet.Strategy strategy : SimulatedFleet.Strategy.values()) {
			for (double load : LOADS) {
				loads.add(load(options, strategy, load));
			}
			brownOuts.add(brownOut(options, strategy));
		}
		return new RoutingReport(options.seed(), loads, brownOuts, withdrawals(options.seed()), fairness(options),
				LoopbackOverhead.measure(options), OpenRequestMemory.bytesPerRequest(options.seed()));
	}

	static RoutingReport.Load load(RoutingBenchOptions options, SimulatedFleet.Strategy strategy, double load) {
		SimulatedFleet fleet = fleet(options, strategy);
		fleet.offer(ACCOUNT, load, IDEMPOTENT_SHARE);
		run(fleet, options);
		double seconds = options.simulated().toNanos() / (double) VirtualClock.NANOS_PER_SECOND;
		double goodput = fleet.caller().answeredCount() / seconds / SimulatedFleet.capacityPerSecond();
		return new RoutingReport.Load(strategy.text(), load, goodput, fleet.caller().answerP99Millis(),
				fleet.caller().refusalP99Millis());
	}

	static RoutingReport.BrownOut brownOut(RoutingBenchOptions options, SimulatedFleet.Strategy strategy) {
		SimulatedFleet fleet = fleet(options, strategy);
		fleet.offer(ACCOUNT, BROWNOUT_LOAD, 1);
		fleet.clock().runUntil(WARM_UP_NANOS);
		int before = received(fleet);
		fleet.targets()
			.stream()
			.limit(SimulatedFleet.TARGETS / 3)
			.forEach((target) -> target.mode(SimulatedTarget.Mode.FAILING));
		run(fleet, options);
		int attempts = received(fleet) - before;
		return new RoutingReport.BrownOut(strategy.text(), (double) attempts / fleet.caller().offeredCount(),
				(double) fleet.caller().answeredCount() / fleet.caller().offeredCount());
	}

	private static int received(SimulatedFleet fleet) {
		return fleet.targets().stream().mapToInt(SimulatedTarget::received).sum();
	}

	private static SimulatedFleet fleet(RoutingBenchOptions options, SimulatedFleet.Strategy strategy) {
		return new SimulatedFleet(options.seed(), strategy, WARM_UP_NANOS, end(options));
	}

	private static void run(SimulatedFleet fleet, RoutingBenchOptions options) {
		fleet.clock().runUntil(end(options));
	}

	private static long end(RoutingBenchOptions options) {
		return WARM_UP_NANOS + options.simulated().toNanos();
	}

	static List<RoutingReport.Withdrawal> withdrawals(long seed) {
		return List.of(withdrawal(seed, "leaving target", false, false),
				withdrawal(seed, "leaving, entry cut off", true, false),
				withdrawal(seed, "silent target", false, true));
	}

	// A target that does not answer is first excluded for five seconds, so the
	// observation ends before it is tried again.
	private static RoutingReport.Withdrawal withdrawal(long seed, String event, boolean isolated,
			boolean unresponsive) {
		long observedUntil = WARM_UP_NANOS + 4 * VirtualClock.NANOS_PER_SECOND;
		SimulatedFleet fleet = new SimulatedFleet(seed, SimulatedFleet.Strategy.VERBENATRACK, WARM_UP_NANOS,
				observedUntil);
		fleet.offer(ACCOUNT, STEADY_LOAD, IDEMPOTENT_SHARE);
		fleet.clock().runUntil(WARM_UP_NANOS);
		SimulatedTarget target = fleet.targets().getFirst();
		if (isolated) {
			fleet.isolate(0);
		}
		if (unresponsive) {
			target.mode(SimulatedTarget.Mode.SILENT);
		}
		else {
			fleet.drain(target.spec().id());
		}
		fleet.clock().runUntil(observedUntil);
		long lastDispatchNanos = Math.max(0, target.lastReceivedNanos() - WARM_UP_NANOS);
		return new RoutingReport.Withdrawal(event, lastDispatchNanos / (double) VirtualClock.NANOS_PER_MILLI);
	}

	static double fairness(RoutingBenchOptions options) {
		SimulatedFleet fleet = fleet(options, SimulatedFleet.Strategy.VERBENATRACK);
		List<AccountId> accounts = List.of(new AccountId("a"), new AccountId("b"), new AccountId("c"),
				new AccountId("flood"));
		for (AccountId account : accounts) {
			fleet.offer(account, account.value().equals("flood") ? 4 : 0.3, IDEMPOTENT_SHARE);
		}
		run(fleet, options);
		double fairShare = (double) fleet.caller().answeredCount() / accounts.size();
		return accounts.stream()
			.mapToDouble((account) -> fleet.caller().answeredOf(account) / fairShare)
			.min()
			.orElse(0);
	}

}
