package io.verbenatrack.cli.explain;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link LogTimeline}: the timelines of a refusal, a late job and an unknown
 * outcome.
 */
public class LogTimelineTests {

	private static final String JOB = "5c0e7a21d94b36f8";

	private static String event(String time, String name, String fields) {
		return "{\"time\":\"2026-01-01T00:00:" + time + "Z\",\"name\":\"" + name + "\",\"fields\":{" + fields + "}}";
	}

	private static List<String> timeline(String... logs) throws IOException {
		LogTimeline timeline = new LogTimeline(JOB);
		for (String log : logs) {
			Path file = Files.createTempFile("log", ".log");
			Files.writeString(file, log);
			timeline.read(file);
			Files.delete(file);
		}
		return timeline.lines();
	}

	@Test
	public void refusalShowsTheUnreachableLeader() throws IOException {
		List<String> lines = timeline(
				event("02.000", "FLEET_CALL_ANSWERED", "\"path\":\"/q/" + JOB + "\",\"reply\":\"Refused\"") + "\n"
						+ event("01.500", "FLEET_LEADER_UNREACHABLE", ""),
				event("01.000", "FLEET_LEADER_ENDED", "\"term\":2"));
		assertThat(lines).hasSize(3);
		assertThat(lines.get(0)).contains("FLEET_LEADER_ENDED");
		assertThat(lines.get(1)).contains("FLEET_LEADER_UNREACHABLE");
		assertThat(lines.get(2)).contains("Refused");
	}

	@Test
	public void lateJobShowsTheLostWorkerAndTheGap() throws IOException {
		String run = "\"job\":\"" + JOB + "\",\"task\":\"0.0.0\",\"worker\":\"w-1\"";
		List<String> lines = timeline("a warning of the runtime\n" + event("01.000", "FLEET_RUN_STARTED", run) + "\n"
				+ event("07.600", "FLEET_WORKER_GONE", "\"worker\":\"w-1\",\"silentMillis\":6500") + "\n"
				+ event("07.600", "FLEET_RUN_ENDED", run + ",\"how\":\"LOST\"") + "\n"
				+ event("07.600", "FLEET_RUN_ENDED", "\"job\":\"other\",\"worker\":\"w-1\"") + "\n"
				+ event("07.600", "FLEET_WORKER_GONE", "\"worker\":\"w-2\""));
		assertThat(lines).hasSize(4);
		assertThat(lines.get(1)).contains("6600 ms without a line");
		assertThat(lines.get(2)).contains("FLEET_WORKER_GONE").contains("w-1");
		assertThat(lines.get(3)).contains("LOST");
	}

	@Test
	public void unknownOutcomeShowsTheLeaderChange() throws IOException {
		List<String> lines = timeline(
				event("03.000", "FLEET_CALL_ANSWERED", "\"path\":\"/q/" + JOB + "\",\"reply\":\"OutcomeUnknown\""),
				event("02.000", "FLEET_COMMIT_FAILED", "\"term\":2,\"outcome\":\"UNKNOWN\""),
				event("02.900", "FLEET_LEADER_BEGAN", "\"term\":3"));
		assertThat(lines).hasSize(3);
		assertThat(lines.get(0)).contains("FLEET_COMMIT_FAILED");
		assertThat(lines.get(1)).contains("\"term\":3");
	}

	// Guards against a job that stops or waits for an evacuation that the timeline hides,
	// and against those of zones that do not concern it.
	@Test
	public void evacuationsOfTheZonesOfTheJobAreShown() throws IOException {
		String run = "\"job\":\"" + JOB + "\",\"worker\":\"w-1\"";
		String log = event("01.000", "FLEET_WORKER_JOINED", "\"worker\":\"w-1\",\"zone\":\"z-1\"") + "\n"
				+ event("20.000", "FLEET_RUN_STARTED", run) + "\n"
				+ event("20.010", "FLEET_ZONE_EVACUATED", "\"zone\":\"z-1\"") + "\n"
				+ event("20.020", "FLEET_RUN_GIVEN_UP", run) + "\n"
				+ event("02.000", "FLEET_ZONE_EVACUATED", "\"zone\":\"z-2\"") + "\n"
				+ event("03.000", "FLEET_ZONE_EVACUATED", "\"zone\":\"z-3\"") + "\n"
				+ event("04.000", "FLEET_EVACUATION_WITHDRAWN", "\"zone\":\"z-3\"");
		assertThat(timeline(log)).hasSize(3).element(1).asString().contains("z-1");
		String waits = event("20.030", "FLEET_JOB_WAITS", "\"job\":\"" + JOB + "\"");
		assertThat(timeline(log + "\n" + waits)).hasSize(6).first().asString().contains("z-2");
	}

	@Test
	public void missingIdIsReported() throws IOException {
		assertThat(timeline(event("01.000", "FLEET_LEADER_BEGAN", "\"term\":2"))).singleElement()
			.asString()
			.contains("No log names " + JOB);
	}

}
