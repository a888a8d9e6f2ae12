package io.verbenatrack.fleet.state;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.model.ClassRunTimes;
import io.verbenatrack.fleet.model.WorkerSpeed;
import io.verbenatrack.model.WorkerId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RunTimes}: the recorded values in the replicated state.
 */
public class RunTimesTests {

	private static ClassRunTimes ofQueue(int number) {
		return new ClassRunTimes("queue-" + number, Optional.empty(), 1, 2, 3, 4, 5, 6, 7, 8, 9, true);
	}

	private static WorkerSpeed ofWorker(int number) {
		return new WorkerSpeed(new WorkerId("worker-" + number), 50);
	}

	// Guards against a state that grows with the names of queues and workers, and against
	// replicas that drop different ones.
	@Test
	public void leastRecentlyRecordedValuesAreDropped() {
		FleetState state = new FleetState();
		state.apply(new FleetBatch(1, 1,
				List.of(new FleetCommand.RecordRunTimes(
						IntStream.range(0, RunTimes.MAX_CLASSES).mapToObj(RunTimesTests::ofQueue).toList(),
						IntStream.range(0, RunTimes.MAX_WORKERS).mapToObj(RunTimesTests::ofWorker).toList()))));
		state.apply(new FleetBatch(1, 2, List.of(new FleetCommand.RecordRunTimes(List.of(ofQueue(0), ofQueue(-1)),
				List.of(ofWorker(0), ofWorker(-1))))));
		RunTimes runTimes = state.runTimes();
		assertThat(runTimes.classes()).hasSize(RunTimes.MAX_CLASSES).contains(ofQueue(0), ofQueue(-1));
		assertThat(runTimes.find("queue-1", Optional.empty())).isEmpty();
		assertThat(runTimes.speeds()).hasSize(RunTimes.MAX_WORKERS).contains(ofWorker(0), ofWorker(-1));
		assertThat(runTimes.percent(new WorkerId("worker-1"))).isEqualTo(100);
	}

}
