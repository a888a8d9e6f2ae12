package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.FleetConfiguration;
import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerPool;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.model.ServiceId;

/**
 * Operators who send configurations that move the queues between two services, and often
 * lack the service that the queues leave, and the check that nothing begins on a service
 * that was removed.
 */
final class ModelConfigurations implements ModelOperators {

	/** From so long after the commit of a removal nothing may begin on the service. */
	private static final long REMOVAL_MILLIS = 5000;

	private static final long RETRY_MILLIS = 100;

	private static final long MAX_ORDER_DELAY_MILLIS = 1500;

	private static final List<ServiceId> SERVICES = List.of(Fixtures.SERVICE, Fixtures.OTHER_SERVICE);

	private final Random random;

	private final Predicate<FleetCommand> log;

	private final ModelChecker checker;

	private final Map<ServiceId, Long> removedMillis = new HashMap<>();

	private Optional<FleetConfiguration> pending = Optional.empty();

	private long version = 1;

	private boolean ended;

	private int stored;

	// The log returns whether a configuration is stored for certain.
	ModelConfigurations(Random random, ModelChecker checker, Predicate<FleetCommand> log) {
		this.random = random;
		this.checker = checker;
		this.log = log;
	}

	@Override
	public ServiceId service(String address) {
		return SERVICES.get(Math.floorMod(address.hashCode(), SERVICES.size()));
	}

	@Override
	public void order(List<ModelWorker> workers, long nowMillis, BiConsumer<Long, Runnable> later,
			Runnable changeLeader) {
		ServiceId service = SERVICES.get(this.random.nextInt(SERVICES.size()));
		boolean keepsOther = this.random.nextInt(4) == 0;
		later.accept(nowMillis + this.random.nextLong(MAX_ORDER_DELAY_MILLIS), () -> {
			if (!this.ended) {
				send(service, keepsOther);
			}
		});
		if (this.random.nextBoolean()) {
			later.accept(nowMillis + this.random.nextLong(2 * MAX_ORDER_DELAY_MILLIS), changeLeader);
		}
	}

	private void send(ServiceId service, boolean keepsOther) {
		FleetConfiguration single = Fixtures.configuration(++this.version, service);
		List<WorkerPool> pools = new ArrayList<>(single.pools());
		if (keepsOther) {
			SERVICES.stream()
				.filter((other) -> !other.equals(service))
				.forEach((other) -> pools.add(new WorkerPool(other, true)));
		}
		// From now on the configuration may be in force.
		pools.forEach((pool) -> this.removedMillis.remove(pool.service()));
		this.pending = Optional
			.of(new FleetConfiguration(single.version(), single.queues(), pools, single.limits(), single.accounts()));
	}

	@Override
	public void end() {
		this.ended = true;
		send(Fixtures.SERVICE, true);
	}

	@Override
	public void run(long nowMillis) {
		if (nowMillis % RETRY_MILLIS != 0 || this.pending.isEmpty()) {
			return;
		}
		FleetConfiguration configuration = this.pending.get();
		if (this.log.test(new FleetCommand.AdoptConfiguration(configuration, new byte[0]))) {
			this.pending = Optional.empty();
			this.stored++;
			SERVICES.stream()
				.filter((service) -> configuration.pools().stream().noneMatch((pool) -> pool.service().equals(service)))
				.forEach((service) -> this.removedMillis.putIfAbsent(service, nowMillis));
		}
	}

	@Override
	public void began(TaskId task, ModelWorker worker, long nowMillis) {
		ServiceId service = service(worker.address);
		Optional.ofNullable(this.removedMillis.get(service))
			.filter((since) -> nowMillis - since > REMOVAL_MILLIS)
			.ifPresent((since) -> this.checker
				.report("REMOVED: " + task + " begins on " + worker.incarnation + ", " + service + " since " + since));
	}

	@Override
	public int stored() {
		return this.stored;
	}

}
