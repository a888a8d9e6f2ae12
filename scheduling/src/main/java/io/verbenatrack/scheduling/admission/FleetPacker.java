package io.verbenatrack.scheduling.admission;

import java.util.List;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.rules.GuaranteePacking;
import io.verbenatrack.scheduling.state.SchedulingState;

/**
 * Packs guarantees into an empty fleet with the scheduler's own packing algorithm.
 */
public final class FleetPacker implements GuaranteePacker {

	private final List<WorkerSpec> workers;

	/**
	 * Creates a packer for a fleet.
	 * @param workers the workers of the fleet, including lost and quarantined ones
	 */
	public FleetPacker(List<WorkerSpec> workers) {
		this.workers = List.copyOf(workers);
	}

	@Override
	public boolean packs(List<AccountDeclaration> accounts) {
		SchedulingState state = new SchedulingState();
		this.workers.forEach((worker) -> state.apply(new SchedulingDecision.AdmitWorker(worker)));
		Declarations declarations = new Declarations(FleetDefaults.STANDARD, accounts, List.of());
		state.apply(new SchedulingDecision.AdoptDeclarations(declarations));
		return GuaranteePacking.pack(state).missing().isEmpty();
	}

}
