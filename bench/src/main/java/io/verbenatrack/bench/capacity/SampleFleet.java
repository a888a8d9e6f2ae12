package io.verbenatrack.bench.capacity;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;

/**
 * Generates workers, jobs and client accounts in the proportions of the target fleet
 * size.
 */
final class SampleFleet {

	static final int ACCOUNTS = 42;

	static final int TARGET_WORKERS = 990;

	static final int TARGET_JOBS = 2_100;

	private static final int WORKERS_PER_RACK = 8;

	private static final int ZONES = 7;

	private static final int ACCELERATORS = 8;

	private static final int CORES = 64;

	private static final int MEMORY_GIB = 256;

	private static final int[] GANG_SIZES = { 1, 2, 4, 4, 1, 2, 8, 4, 1, 8 };

	private static final Duration RUN_TIME = Duration.ofHours(4);

	private SampleFleet() {
	}

	static WorkerSpec worker(int number) {
		int rack = number / WORKERS_PER_RACK;
		return new WorkerSpec(new WorkerId("worker-%04d".formatted(number)), new ZoneId("zone-" + rack % ZONES),
				new RackId("rack-%03d".formatted(rack)), number % WORKERS_PER_RACK, CORES, MEMORY_GIB, ACCELERATORS);
	}

	static JobSpec job(int number) {
		return new JobSpec(new JobId("job-%05d".formatted(number)), account(number % ACCOUNTS), "class-a",
				new GangShape(GANG_SIZES[number % GANG_SIZES.length], 1, 4), RUN_TIME, Urgency.NORMAL, true);
	}

	static int jobs(int workers) {
		return workers * TARGET_JOBS / TARGET_WORKERS;
	}

	static Declarations declarations() {
		List<AccountDeclaration> accounts = IntStream.range(0, ACCOUNTS)
			.mapToObj((number) -> new AccountDeclaration(account(number),
					List.of(new Guarantee(new GangShape(8, 4, 16), 1)), 1, number))
			.toList();
		return new Declarations(FleetDefaults.STANDARD, accounts, List.of());
	}

	private static AccountId account(int number) {
		return new AccountId("account-%02d".formatted(number));
	}

}
