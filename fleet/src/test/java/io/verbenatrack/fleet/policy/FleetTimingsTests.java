package io.verbenatrack.fleet.policy;

import java.time.Duration;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link FleetTimings}: the intervals that depend on the size of the fleet.
 */
public class FleetTimingsTests {

	private final FleetTimings timings = FleetTimings.withLease(Duration.ofSeconds(6));

	@DataProvider
	Object[][] fleets() {
		return new Object[][] { { 33, 200, 1200 }, { 245, 245, 1200 }, { 990, 990, 2970 } };
	}

	@Test(dataProvider = "fleets")
	public void intervalsGrowWithTheNumberOfWorkers(int workers, long reportMillis, long silenceMillis) {
		assertThat(this.timings.reportInterval(workers)).hasMillis(reportMillis);
		assertThat(this.timings.silenceTimeout(workers)).hasMillis(silenceMillis);
	}

}
