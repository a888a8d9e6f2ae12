package io.verbenatrack.bench.control;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.HdrHistogram.Histogram;

import io.verbenatrack.bench.control.ControlBenchReport.Failover;
import io.verbenatrack.bench.control.ControlBenchReport.Recovery;
import io.verbenatrack.bench.control.ControlBenchReport.Resumes;
import io.verbenatrack.bench.control.ControlBenchReport.Traffic;

/**
 * Runs seeded fault schedules and measures the control log. It implements
 * {@code bench control}.
 */
public final class ControlBench {

	private static final int FAILOVERS_PER_CASE = 300;

	private static final List<Integer> LOG_LENGTHS = List.of(1_000, 10_000, 100_000);

	private static final List<Integer> CLUSTER_SIZES = List.of(3, 5, 7);

	private static final Duration CHANGE_INTERVAL = Duration.ofMillis(20);

	private ControlBench() {
	}

	/**
	 * Runs the bench.
	 * @param options the options
	 * @return the results
	 * @throws UncheckedIOException if the log files cannot be read or written
	 */
	public static ControlBenchReport run(ControlBenchOptions options) {
		List<ScheduleResult> results = ScheduleRuns.run(ScheduleSize.THREE_REPLICAS, options.seed(),
				options.schedules(), options.threads());
		List<String> violations = new ArrayList<>();
		Histogram inForce = new Histogram(3);
		for (ScheduleResult result : results) {
			result.violations().forEach((violation) -> violations.add("seed " + result.seed() + " " + violation));
			result.inForceMillis().forEach((millis) -> inForce.recordValue(millis * 1_000));
		}
		LogMeasurement log = new LogMeasurement(options.folder());
		try {
			return new ControlBenchReport(options.seed(), options.schedules(), violations,
					results.stream().mapToInt(ScheduleResult::openVerdicts).sum(),
					results.stream().mapToLong(ScheduleResult::configurationOperations).sum(),
					results.stream().mapToLong(ScheduleResult::claimOperations).sum(), resumes(results),
					failovers(options.seed()), FailoverMeasurement.quantiles(inForce), log.measureThroughput(),
					recoveries(log), traffic(options.seed()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static Resumes resumes(List<ScheduleResult> results) {
		return new Resumes(results.stream().mapToLong(ScheduleResult::resumes).sum(),
				results.stream().mapToLong(ScheduleResult::wrongUncheckedResumes).sum(),
				results.stream()
					.filter((result) -> result.violations().stream().anyMatch((text) -> text.contains("differs")))
					.count(),
				results.stream().mapToLong(ScheduleResult::unknownResumes).sum());
	}

	private static List<Failover> failovers(long seed) {
		List<Failover> failovers = new ArrayList<>();
		for (Duration link : List.of(Duration.ofMillis(1), Duration.ofMillis(1).plusNanos(500_000))) {
			for (FaultKind cause : List.of(FaultKind.PROCESS_DEATH, FaultKind.PARTITION_BOTH)) {
				failovers.add(FailoverMeasurement.measureFailover(link, cause, seed, FAILOVERS_PER_CASE));
			}
		}
		return failovers;
	}

	private static List<Recovery> recoveries(LogMeasurement log) throws IOException {
		List<Recovery> recoveries = new ArrayList<>();
		for (int entries : LOG_LENGTHS) {
			recoveries.add(log.measureRecovery(entries));
		}
		return recoveries;
	}

	private static List<Traffic> traffic(long seed) {
		List<Traffic> traffic = new ArrayList<>();
		for (int replicas : CLUSTER_SIZES) {
			traffic.add(FailoverMeasurement.measureTraffic(replicas, Duration.ZERO, seed));
			traffic.add(FailoverMeasurement.measureTraffic(replicas, CHANGE_INTERVAL, seed));
		}
		return traffic;
	}

}
