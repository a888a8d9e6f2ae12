package io.verbenatrack.fleet.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.fleet.model.Resources;
import io.verbenatrack.fleet.model.StepSpec;
import io.verbenatrack.fleet.model.TaskId;

/**
 * Chooses what stops so that a guaranteed step can start: work of lower priority, on the
 * rack where the least is lost.
 */
final class PreemptionPlanner {

	private final Collection<CandidateWorker> hosts;

	PreemptionPlanner(Collection<CandidateWorker> hosts) {
		this.hosts = hosts;
	}

	/**
	 * Clears room for the waiting tasks of a step.
	 * @param step the step
	 * @return what stops and where; empty when even that makes too little room
	 */
	Optional<Plan> plan(PendingStep step) {
		List<CandidateWorker> suitable = this.hosts.stream()
			.filter((host) -> host.suits(step.spec()) && !host.reserved())
			.toList();
		if (step.spec().gang() && step.spec().rackSensitive()) {
			Optional<Plan> best = CandidateWorker.byRack(suitable)
				.stream()
				.map((rack) -> clear(step, rack))
				.flatMap(Optional::stream)
				.min(Comparator.comparingDouble(Plan::loss));
			if (best.isPresent()) {
				return best;
			}
		}
		return clear(step, suitable);
	}

	private static Optional<Plan> clear(PendingStep step, List<CandidateWorker> hosts) {
		List<Offer> offers = new ArrayList<>();
		hosts.forEach((host) -> offers.addAll(offers(host, step.spec())));
		offers.sort(Comparator.comparingDouble(Offer::lossPerPlace));
		int missing = step.waiting().size();
		double loss = 0;
		List<TaskId> stops = new ArrayList<>();
		List<CandidateWorker> used = new ArrayList<>();
		for (Offer offer : offers) {
			if (missing > 0 && !used.contains(offer.host())) {
				used.add(offer.host());
				stops.addAll(offer.stops());
				loss += offer.loss();
				missing -= offer.places();
			}
		}
		return (missing <= 0) ? Optional.of(new Plan(stops, used, loss)) : Optional.empty();
	}

	// What a worker offers without a stop, and after stopping more and more of its
	// cheapest occupants.
	private static List<Offer> offers(CandidateWorker host, StepSpec step) {
		List<Offer> offers = new ArrayList<>();
		Resources room = host.free();
		double loss = 0;
		List<TaskId> stops = new ArrayList<>();
		int places = step.placesIn(room);
		if (places > 0) {
			offers.add(new Offer(host, places, 0, List.of()));
		}
		List<CandidateWorker.Occupant> cheapest = host.occupants()
			.stream()
			.filter((occupant) -> occupant.priority() > 0)
			.sorted(Comparator.comparingDouble(CandidateWorker.Occupant::lossMillis))
			.toList();
		for (CandidateWorker.Occupant occupant : cheapest) {
			room = room.plus(occupant.room());
			loss += occupant.lossMillis();
			stops.add(occupant.task());
			int more = step.placesIn(room);
			if (more > places) {
				places = more;
				offers.add(new Offer(host, places, loss, List.copyOf(stops)));
			}
		}
		return offers;
	}

	private record Offer(CandidateWorker host, int places, double loss, List<TaskId> stops) {

		double lossPerPlace() {
			return this.loss / this.places;
		}

	}

	/**
	 * Who makes room.
	 *
	 * @param stops the tasks that stop
	 * @param hosts the workers that the room is kept on
	 * @param loss the work thrown away, in weighted milliseconds
	 */
	record Plan(List<TaskId> stops, List<CandidateWorker> hosts, double loss) {

	}

}
