package io.verbenatrack.cli.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Merges the log lines of several instances that contain one id, together with lines from
 * the same period that concern the cluster or the workers involved, and the evacuations
 * of availability zones that concern the job.
 */
public final class LogTimeline {

	/** Gaps longer than this are shown in the timeline. */
	private static final Duration MINIMUM_GAP = Duration.ofSeconds(2);

	/** Cluster-wide events, which are included whether or not they contain the id. */
	private static final Set<String> CLUSTER_EVENTS = Set.of("FLEET_LEADER_BEGAN", "FLEET_LEADER_ENDED",
			"FLEET_COMMIT_FAILED", "FLEET_LEADER_UNREACHABLE", "FLEET_LEADER_REACHED", "FLEET_CONFIGURATION_ADOPTED",
			"LOG_LINES_DROPPED", "INSTANCE_STOPPING", "INSTANCE_READY");

	private static final ObjectMapper JSON = new ObjectMapper();

	private final String id;

	private int sequence;

	private final List<LogLine> matching = new ArrayList<>();

	private final List<LogLine> context = new ArrayList<>();

	private final Evacuations evacuations = new Evacuations();

	/**
	 * Creates an empty timeline.
	 * @param id the id of the job or request
	 */
	public LogTimeline(String id) {
		this.id = id;
	}

	/**
	 * Adds the events of a log file. Lines that are not events are skipped.
	 * @param file the log of one instance
	 * @throws IOException when the file cannot be read
	 */
	public void read(Path file) throws IOException {
		String source = file.getFileName().toString();
		try (BufferedReader reader = Files.newBufferedReader(file)) {
			for (String text = reader.readLine(); text != null; text = reader.readLine()) {
				int start = text.indexOf('{');
				if (start >= 0) {
					parse(source, text.substring(start)).ifPresent(this::add);
				}
			}
		}
	}

	private Optional<LogLine> parse(String source, String text) {
		try {
			JsonNode event = JSON.readTree(text);
			return Optional.of(new LogLine(Instant.parse(event.path("time").asText()), this.sequence++, source,
					event.path("name").asText(), event.path("fields")));
		}
		catch (JsonProcessingException | DateTimeParseException ex) {
			// A process may also write lines that are not events, such as JVM
			// warnings.
			return Optional.empty();
		}
	}

	private void add(LogLine line) {
		this.evacuations.add(line);
		if (line.fields().toString().contains(this.id)) {
			this.matching.add(line);
		}
		else if (CLUSTER_EVENTS.contains(line.name()) || line.fields().has("worker")) {
			this.context.add(line);
		}
	}

	/**
	 * Returns whether any log line contains the id.
	 * @return whether the timeline has matching lines
	 */
	public boolean hasMatches() {
		return !this.matching.isEmpty();
	}

	/**
	 * Returns the timeline in chronological order.
	 * @return one line for each event and each gap
	 */
	public List<String> lines() {
		if (!hasMatches()) {
			return List.of("No log names " + this.id + ". Give the logs of every instance for the time of the call.");
		}
		this.matching.sort(LogLine.BY_TIME);
		Instant first = this.matching.getFirst().time().minus(MINIMUM_GAP);
		Instant last = this.matching.getLast().time().plus(MINIMUM_GAP);
		Set<String> workers = new HashSet<>();
		this.matching.forEach((line) -> workers.add(line.text("worker")));
		List<LogLine> timeline = new ArrayList<>(this.matching);
		this.context.stream()
			.filter((line) -> !line.time().isBefore(first) && !line.time().isAfter(last))
			.filter((line) -> CLUSTER_EVENTS.contains(line.name()) || isWorkerEvent(line, workers))
			.forEach(timeline::add);
		timeline.addAll(this.evacuations.concerning(this.matching, first, last));
		timeline.sort(LogLine.BY_TIME);
		return format(timeline);
	}

	// Excludes events of other jobs that run on the same worker.
	private static boolean isWorkerEvent(LogLine line, Set<String> workers) {
		return workers.contains(line.text("worker")) && !line.fields().has("job");
	}

	private static List<String> format(List<LogLine> timeline) {
		List<String> texts = new ArrayList<>();
		Instant previous = timeline.getFirst().time();
		for (LogLine line : timeline) {
			Duration gap = Duration.between(previous, line.time());
			if (gap.compareTo(MINIMUM_GAP) > 0) {
				texts.add("  ... " + gap.toMillis() + " ms without a line");
			}
			texts.add(line.time() + " " + line.source() + " " + line.name() + " " + line.fields());
			previous = line.time();
		}
		return texts;
	}

}
