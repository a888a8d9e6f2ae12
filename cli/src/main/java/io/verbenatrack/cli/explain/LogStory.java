package io.verbenatrack.cli.explain;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * The lines of several logs that concern one id, and those of the same time that concern
 * the instances and workers that took part.
 */
public final class LogStory {

	/** A pause of this length in a story is named. */
	private static final Duration GAP = Duration.ofSeconds(2);

	/** Lines without an id that matter to everybody. */
	private static final Set<String> FOR_ALL = Set.of("FLEET_LEADER_BEGAN", "FLEET_LEADER_ENDED", "FLEET_COMMIT_FAILED",
			"FLEET_LEADER_UNREACHABLE", "FLEET_LEADER_REACHED", "FLEET_CONFIGURATION_ADOPTED", "LOG_LINES_DROPPED",
			"INSTANCE_STOPPING", "INSTANCE_READY");

	private static final ObjectMapper JSON = new ObjectMapper();

	private final String id;

	private int place;

	private final List<Line> own = new ArrayList<>();

	private final List<Line> others = new ArrayList<>();

	/**
	 * Creates a story without lines.
	 * @param id the id that it is about
	 */
	public LogStory(String id) {
		this.id = id;
	}

	/**
	 * Takes the lines of a file; what is no event is passed over.
	 * @param file the log of one instance
	 * @throws IOException when the file cannot be read
	 */
	public void read(Path file) throws IOException {
		String source = file.getFileName().toString();
		try (BufferedReader reader = Files.newBufferedReader(file)) {
			for (String text = reader.readLine(); text != null; text = reader.readLine()) {
				int start = text.indexOf('{');
				if (start >= 0) {
					parse(source, text.substring(start)).ifPresent(this::take);
				}
			}
		}
	}

	private Optional<Line> parse(String source, String text) {
		try {
			JsonNode event = JSON.readTree(text);
			return Optional.of(new Line(Instant.parse(event.path("time").asText()), this.place++, source,
					event.path("name").asText(), event.path("fields")));
		}
		catch (JsonProcessingException | DateTimeParseException ex) {
			// A process may write other lines than events, such as warnings of the
			// runtime.
			return Optional.empty();
		}
	}

	private void take(Line line) {
		if (line.fields().toString().contains(this.id)) {
			this.own.add(line);
		}
		else if (FOR_ALL.contains(line.name()) || line.fields().has("worker")) {
			this.others.add(line);
		}
	}

	/**
	 * Whether any line names the id.
	 * @return whether there is a story
	 */
	public boolean found() {
		return !this.own.isEmpty();
	}

	/**
	 * The story, in order of time.
	 * @return a line for each event, and one for each gap
	 */
	public List<String> lines() {
		if (!found()) {
			return List.of("No log names " + this.id + ". Give the logs of every instance for the time of the call.");
		}
		this.own.sort(Line.IN_ORDER);
		Instant first = this.own.getFirst().time().minus(GAP);
		Instant last = this.own.getLast().time().plus(GAP);
		Set<String> workers = new HashSet<>();
		this.own.forEach((line) -> workers.add(line.fields().path("worker").asText()));
		List<Line> story = new ArrayList<>(this.own);
		this.others.stream()
			.filter((line) -> !line.time().isBefore(first) && !line.time().isAfter(last))
			.filter((line) -> FOR_ALL.contains(line.name()) || concernsWorker(line, workers))
			.forEach(story::add);
		story.sort(Line.IN_ORDER);
		return texts(story);
	}

	// Runs of other jobs on the same worker are no part of the story.
	private static boolean concernsWorker(Line line, Set<String> workers) {
		return workers.contains(line.fields().path("worker").asText()) && !line.fields().has("job");
	}

	private static List<String> texts(List<Line> story) {
		List<String> texts = new ArrayList<>();
		Instant before = story.getFirst().time();
		for (Line line : story) {
			Duration pause = Duration.between(before, line.time());
			if (pause.compareTo(GAP) > 0) {
				texts.add("  ... " + pause.toMillis() + " ms without a line");
			}
			texts.add(line.time() + " " + line.source() + " " + line.name() + " " + line.fields());
			before = line.time();
		}
		return texts;
	}

	// Lines of one log and one time stay in the order in which they were written.
	private record Line(Instant time, int place, String source, String name, JsonNode fields) {

		static final Comparator<Line> IN_ORDER = Comparator.comparing(Line::time).thenComparingInt(Line::place);

	}

}
