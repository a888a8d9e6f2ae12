package io.verbenatrack.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.routing.rules.OutlierDetection;
import io.verbenatrack.routing.rules.PowerOfTwoChoices;
import io.verbenatrack.routing.rules.SameZoneFirst;

/**
 * Selects targets with free slots and ejects outliers.
 */
final class TargetPool {

	private static final long IDLE_RETENTION_NANOS = Duration.ofMinutes(5).toNanos();

	private final TargetDirectory directory;

	private final ZoneId zone;

	private final RoutingSettings settings;

	private final RandomGenerator random;

	private final SlotAllocator slotAllocator;

	private final Map<TargetId, TargetState> states = new TreeMap<>();

	TargetPool(InstanceId self, ZoneId zone, TargetDirectory directory, RoutingSettings settings,
			RandomGenerator random) {
		this.directory = directory;
		this.zone = zone;
		this.settings = settings;
		this.random = random;
		this.slotAllocator = new SlotAllocator(self);
	}

	SlotAllocator slotAllocator() {
		return this.slotAllocator;
	}

	List<Candidate> eligible(ServiceId service, long nowNanos) {
		List<Candidate> candidates = new ArrayList<>();
		for (TargetView view : this.directory.eligible(service, nowNanos)) {
			TargetState state = this.states.computeIfAbsent(view.spec().id(), (id) -> new TargetState(view.spec()));
			state.updateSpec(view.spec());
			state.endEjectionIfDue(nowNanos);
			candidates.add(new Candidate(view, state, capacity(view.spec(), state, nowNanos)));
		}
		return candidates;
	}

	private int capacity(TargetSpec spec, TargetState state, long nowNanos) {
		if (state.isEjected()) {
			return 0;
		}
		int capacity = this.slotAllocator.capacity(spec, nowNanos);
		return state.isOnProbation() ? Math.min(1, capacity) : capacity;
	}

	Optional<TargetState> choose(List<Candidate> eligible, Set<TargetId> triedTargets) {
		List<Candidate> free = eligible.stream().filter(Candidate::hasFreeSlot).toList();
		if (free.isEmpty()) {
			return Optional.empty();
		}
		List<Candidate> untried = free.stream()
			.filter((candidate) -> !triedTargets.contains(candidate.state.spec().id()))
			.toList();
		List<Candidate> preferred = SameZoneFirst.prefer(untried.isEmpty() ? free : untried,
				(candidate) -> candidate.state.spec().zone().equals(this.zone), Candidate::load);
		return Optional.of(PowerOfTwoChoices.choose(preferred, Candidate::load, this.random).state);
	}

	Collection<TargetState> states() {
		return this.states.values();
	}

	/**
	 * Ejects the outliers among the targets of a service. When there are more outliers
	 * than may be ejected, the ejected targets are returned to service instead.
	 * @param service the service
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void detectOutliers(ServiceId service, long nowNanos) {
		List<Candidate> candidates = eligible(service, nowNanos);
		long median = medianNanos(candidates);
		List<TargetState> outliers = candidates.stream()
			.map(Candidate::state)
			.filter((state) -> state.failedOnProbation() || state.isOutlier(median, nowNanos))
			.toList();
		if (!OutlierDetection.mayEject(outliers.size(), candidates.size(), this.settings.maximumEjectedShare())) {
			outliers.stream().filter(TargetState::isEjected).forEach(TargetState::restore);
			return;
		}
		for (TargetState state : outliers) {
			if (!state.isEjected()) {
				state.eject(OutlierDetection.ejectionNanos(state.ejectionCount(), this.settings.baseEjectionDuration()),
						nowNanos);
			}
		}
	}

	private static long medianNanos(List<Candidate> candidates) {
		long[] means = candidates.stream()
			.map(Candidate::state)
			.filter(TargetState::hasEnoughSamples)
			.mapToLong(TargetState::meanNanos)
			.sorted()
			.toArray();
		return (means.length > 0) ? means[means.length / 2] : 0;
	}

	void removeIdle(long nowNanos) {
		this.states.values().removeIf((state) -> state.isIdleSince(nowNanos - IDLE_RETENTION_NANOS));
	}

	/**
	 * An eligible target.
	 *
	 * @param view the state of the target in the directory
	 * @param state the statistics of this instance on the target
	 * @param capacity the number of dispatches that this instance may run on the target
	 * at once
	 */
	record Candidate(TargetView view, TargetState state, int capacity) {

		boolean hasFreeSlot() {
			return this.state.inFlight() < this.capacity;
		}

		double load() {
			int running = Math.max(this.state.inFlight(), this.view.reportedLoad());
			double own = (double) this.state.inFlight() / Math.max(1, this.capacity);
			return own + (double) running / Math.max(1, this.view.spec().slots());
		}

	}

}
