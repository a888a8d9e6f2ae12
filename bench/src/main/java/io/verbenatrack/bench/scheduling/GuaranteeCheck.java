package io.verbenatrack.bench.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.Guarantee;

/**
 * Checks whether a job fits into the unused guarantees of its client account.
 */
final class GuaranteeCheck {

	private final Declarations declarations;

	private final Collection<SimulatedJob> runs;

	GuaranteeCheck(Declarations declarations, Collection<SimulatedJob> runs) {
		this.declarations = declarations;
		this.runs = runs;
	}

	// Returns whether a guarantee of the account is at least as large as the gang.
	boolean hasLargeEnoughGuarantee(SimulatedJob run) {
		return account(run).guarantees()
			.stream()
			.anyMatch((guarantee) -> guarantee.shape().accelerators() >= run.gang());
	}

	// Returns whether the job fits into the guarantees together with the account's placed
	// jobs, packed by first fit in decreasing order of size.
	boolean fitsUnusedGuarantees(SimulatedJob candidate) {
		List<Integer> free = new ArrayList<>();
		for (Guarantee guarantee : account(candidate).guarantees()) {
			free.addAll(Collections.nCopies(guarantee.count(), guarantee.shape().accelerators()));
		}
		Stream<SimulatedJob> placed = this.runs.stream()
			.filter((run) -> run.job.spec().account().equals(candidate.job.spec().account()))
			.filter((run) -> run != candidate && !run.ended() && !run.waiting());
		return Stream.concat(placed, Stream.of(candidate))
			.sorted(Comparator.comparingInt(SimulatedJob::gang).reversed())
			.allMatch((run) -> allocate(free, run.gang()));
	}

	private static boolean allocate(List<Integer> free, int gang) {
		for (int i = 0; i < free.size(); i++) {
			if (free.get(i) >= gang) {
				free.set(i, free.get(i) - gang);
				return true;
			}
		}
		return false;
	}

	private AccountDeclaration account(SimulatedJob run) {
		return this.declarations.account(run.job.spec().account()).orElseThrow();
	}

}
