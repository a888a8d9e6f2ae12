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
 * Packs guarantees into an empty fleet by the rule that the scheduler itself uses.
 */
public final class FleetPacker implements GuaranteePacker {

	private final List<WorkerSpec> workers;

	/**
	 * Creates the packer.
	 * @param workers the fleet, lost and quarantined workers included
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
