package io.verbenatrack.standin;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.WorkerSpec;
import io.verbenatrack.model.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link StandinWorker}.
 */
public class StandinWorkerTests {

	private ScheduledExecutorService timer;

	private StandinWorker worker;

	@BeforeMethod
	public void create() {
		this.timer = Executors.newSingleThreadScheduledExecutor();
		this.worker = new StandinWorker(
				new WorkerSpec(new WorkerId("w"), new ZoneId("z"), new RackId("r"), 0, 64, 256, 8), new LongWork(),
				this.timer, MonotonicClock.system());
	}

	@AfterMethod
	public void stop() {
		this.timer.shutdownNow();
	}

	@Test
	public void reportAddedDuringABatchIsSentInTheNextBatch() {
		this.worker.execute(call("a", 1, "prepare"));
		assertThat(reported(this.worker.takeBatch())).containsExactly("a prepared");
		this.worker.execute(call("b", 2, "prepare"));
		assertThat(this.worker.takeBatch()).isEmpty();
		this.worker.endBatch(true);
		assertThat(reported(this.worker.takeBatch())).containsExactly("b prepared");
	}

	@Test
	public void unrecordedBatchIsSentAgain() {
		this.worker.execute(call("a", 1, "prepare"));
		this.worker.takeBatch();
		this.worker.endBatch(false);
		assertThat(reported(this.worker.takeBatch())).containsExactly("a prepared");
	}

	@Test
	public void lowerTokenIsRefusedAndHigherTokenIsAccepted() {
		assertThat(this.worker.execute(call("a", 5, "prepare"))).isZero();
		assertThat(this.worker.execute(call("a", 4, "start"))).isEqualTo(5);
		assertThat(this.worker.execute(call("a", 6, "prepare"))).isZero();
		assertThat(this.worker.starts()).isZero();
	}

	private static List<String> reported(List<MemberReportBody> reports) {
		return reports.stream().map((report) -> report.job() + " " + report.report()).toList();
	}

	private static MemberCall call(String job, long token, String action) {
		return new MemberCall(job, token, action, 0, 8, 10_000, 1_000, 0);
	}

	private static final class LongWork implements WorkDurations {

		@Override
		public Duration runTime(String job, Duration declared) {
			return Duration.ofHours(1);
		}

		@Override
		public Duration serviceTime(String request) {
			return Duration.ZERO;
		}

	}

}
