package io.verbenatrack.routing.rules;

import java.time.Duration;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link OutlierDetection} on both sides of each threshold.
 */
public class OutlierDetectionTests {

	private static final long MEDIAN = 100;

	@Test
	public void consecutiveFailuresMakeOutlier() {
		assertThat(isOutlier(5, 5, 1, 0, 0)).isTrue();
		assertThat(isOutlier(4, 4, 1, 0, 0)).isFalse();
	}

	@Test
	public void frequentFailuresMakeOutlier() {
		assertThat(isOutlier(20, 1, 0.6, MEDIAN, 0)).isTrue();
		assertThat(isOutlier(20, 1, 0.4, MEDIAN, 0)).isFalse();
	}

	@Test
	public void slownessMakesOutlier() {
		assertThat(isOutlier(20, 0, 0, 401, 0)).isTrue();
		assertThat(isOutlier(20, 0, 0, 400, 0)).isFalse();
	}

	@Test
	public void missingReplyMakesOutlier() {
		assertThat(isOutlier(0, 0, 0, 0, 1601)).isTrue();
		assertThat(isOutlier(0, 0, 0, 0, 1600)).isFalse();
	}

	@Test
	public void ejectsUpToTheMaximumShare() {
		assertThat(OutlierDetection.mayEject(12, 30, 0.4)).isTrue();
		assertThat(OutlierDetection.mayEject(13, 30, 0.4)).isFalse();
	}

	@Test
	public void repeatedOutliersAreEjectedLonger() {
		assertThat(OutlierDetection.ejectionNanos(0, Duration.ofNanos(5))).isEqualTo(5);
		assertThat(OutlierDetection.ejectionNanos(2, Duration.ofNanos(5))).isEqualTo(20);
		assertThat(OutlierDetection.ejectionNanos(60, Duration.ofNanos(5))).isEqualTo(80);
	}

	private static boolean isOutlier(int samples, int failures, double share, long mean, long oldest) {
		return OutlierDetection.isOutlier(new OutlierDetection.TargetStatistics(samples, failures, share, mean, oldest),
				MEDIAN);
	}

}
