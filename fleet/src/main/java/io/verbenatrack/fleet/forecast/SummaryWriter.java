package io.verbenatrack.fleet.forecast;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.fleet.model.ClassRunTimes;
import io.verbenatrack.fleet.model.WorkerSpeed;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.RunTimes;

/**
 * Decides when and what of the learned values is recorded in the replicated state, which
 * also tells what is recorded already. A summary whose commit fails is thus repeated.
 */
final class SummaryWriter {

	/** What a new leader may lack of what was learned. */
	private static final Duration INTERVAL = Duration.ofSeconds(5);

	/** Leaves the rest of the log's 23 KB a second to jobs. */
	private static final int MAX_BYTES = 16 * 1024;

	/** The encoded numbers and names of the components of a class. */
	private static final int CLASS_BYTES = 200;

	/** The encoded number and names of the components of a speed. */
	private static final int SPEED_BYTES = 24;

	/** The name of the command. */
	private static final int COMMAND_BYTES = 64;

	private final LearnedRunTimes runTimes;

	private final WorkerSpeeds speeds;

	private final RunTimes recorded;

	private long dueNanos;

	private int turn;

	SummaryWriter(LearnedRunTimes runTimes, WorkerSpeeds speeds, RunTimes recorded, long nowNanos) {
		this.runTimes = runTimes;
		this.speeds = speeds;
		this.recorded = recorded;
		this.dueNanos = nowNanos + INTERVAL.toNanos();
	}

	Optional<FleetCommand> next(long nowNanos) {
		if (nowNanos - this.dueNanos < 0) {
			return Optional.empty();
		}
		this.dueNanos = nowNanos + INTERVAL.toNanos();
		List<ClassRunTimes> classes = new ArrayList<>();
		List<WorkerSpeed> changed = new ArrayList<>();
		int bytes = COMMAND_BYTES;
		List<WorkerModel> differing = this.speeds.models()
			.stream()
			.filter((worker) -> worker.measured() && worker.differsFrom(this.recorded.percent(worker.worker())))
			.toList();
		// Where not all fit, each one has its turn.
		for (int index = 0; index < differing.size(); index++) {
			WorkerModel worker = differing.get((index + this.turn) % differing.size());
			int size = SPEED_BYTES + bytes(worker.worker().value());
			if (bytes + size > MAX_BYTES / 2) {
				this.turn += index;
				break;
			}
			bytes += size;
			changed.add(worker.summary());
		}
		for (ClassRunTimes summary : this.runTimes.changed(this.recorded)) {
			int size = CLASS_BYTES + bytes(summary.queue())
					+ summary.account().map((account) -> bytes(account.value())).orElse(0);
			if (bytes + size <= MAX_BYTES) {
				bytes += size;
				classes.add(summary);
			}
		}
		return (classes.isEmpty() && changed.isEmpty()) ? Optional.empty()
				: Optional.of(new FleetCommand.RecordRunTimes(classes, changed));
	}

	private static int bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8).length;
	}

}
