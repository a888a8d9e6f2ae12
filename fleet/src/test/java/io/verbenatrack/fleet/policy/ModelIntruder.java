package io.verbenatrack.fleet.policy;

import java.util.List;
import java.util.Random;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.WorkerId;

/**
 * Another writer, whose reports look like those of a worker that began just now, for a
 * service that no configuration names.
 */
final class ModelIntruder {

	private static final ServiceId SERVICE = new ServiceId("another");

	private static final long MAX_LATER_MILLIS = 5000;

	private static final long MAX_SEQUENCE = 100;

	private final Random random;

	private int names;

	ModelIntruder(Random random) {
		this.random = random;
	}

	/**
	 * Creates a report that claims the place of a worker.
	 * @param worker the worker
	 * @return a report with the identifier of the worker, or another one at its address
	 */
	WorkerReport report(ModelWorker worker) {
		WorkerId id = this.random.nextBoolean() ? worker.incarnation.worker()
				: new WorkerId("intruder-" + ++this.names);
		long bornMillis = worker.incarnation.bornMillis() + 1 + this.random.nextLong(MAX_LATER_MILLIS);
		ServiceId service = this.random.nextBoolean() ? SERVICE : Fixtures.SERVICE;
		return worker.reportOf(new WorkerIncarnation(id, bornMillis), service, 1 + this.random.nextLong(MAX_SEQUENCE),
				List.of(), List.of());
	}

}
