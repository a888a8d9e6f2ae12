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
final class EntitlementCheck {

	private final Declarations declarations;

	private final Collection<JobRun> runs;

	EntitlementCheck(Declarations declarations, Collection<JobRun> runs) {
		this.declarations = declarations;
		this.runs = runs;
	}

	// Returns whether a guarantee of the account is at least as large as the gang.
	boolean guaranteed(JobRun run) {
		return account(run).guarantees().stream().anyMatch((each) -> each.shape().accelerators() >= run.gang());
	}

	// Returns whether the job fits into the guarantees together with the account's placed
	// jobs, packed by first fit in decreasing order of size.
	boolean covers(JobRun candidate) {
		List<Integer> room = new ArrayList<>();
		for (Guarantee guarantee : account(candidate).guarantees()) {
			room.addAll(Collections.nCopies(guarantee.count(), guarantee.shape().accelerators()));
		}
		Stream<JobRun> open = this.runs.stream()
			.filter((run) -> run.job.spec().account().equals(candidate.job.spec().account()))
			.filter((run) -> run != candidate && !run.ended() && !run.waiting());
		return Stream.concat(open, Stream.of(candidate))
			.sorted(Comparator.comparingInt(JobRun::gang).reversed())
			.allMatch((run) -> take(room, run.gang()));
	}

	private static boolean take(List<Integer> room, int gang) {
		for (int i = 0; i < room.size(); i++) {
			if (room.get(i) >= gang) {
				room.set(i, room.get(i) - gang);
				return true;
			}
		}
		return false;
	}

	private AccountDeclaration account(JobRun run) {
		return this.declarations.account(run.job.spec().account()).orElseThrow();
	}

}
