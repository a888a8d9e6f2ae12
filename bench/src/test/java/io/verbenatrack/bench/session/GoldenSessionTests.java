package io.verbenatrack.bench.session;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.Result;
import io.verbenatrack.scheduling.policy.GuaranteeScheduler;
import io.verbenatrack.settings.DeclarationsReader;
import io.verbenatrack.settings.WorkFile;
import io.verbenatrack.settings.WorkPlan;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays both example sessions and compares every decision with the golden files.
 *
 * <p>
 * After an intended change of the policy, run {@link #main} in the folder of the bench
 * module to regenerate the golden files, and review the difference before committing it.
 */
public class GoldenSessionTests {

	private static final Path EXAMPLES = Path.of("..", "examples");

	private static final Path GOLDEN = Path.of("src", "test", "resources", "golden");

	@DataProvider
	public Object[][] sessions() {
		return new Object[][] { { "hamid", "night.yaml" }, { "visina", "day.yaml" } };
	}

	@Test(dataProvider = "sessions")
	public void sessionReplaysByteForByte(String example, String work) throws IOException {
		assertThat(text(session(example, work))).isEqualTo(Files.readString(golden(example)));
	}

	@Test(dataProvider = "sessions")
	public void everyJobHasExactlyOneOutcome(String example, String work) {
		WorkPlan plan = plan(example, work);
		SimulatedSession session = new SimulatedSession(new GuaranteeScheduler(), plan);
		session.run(declarations(example));
		assertThat(session.outcomes()).hasSize(plan.jobs().size());
		assertThat(session.outcomes().values()).allMatch((count) -> count == 1);
	}

	/**
	 * Regenerates the golden files.
	 * @param arguments none
	 * @throws IOException if a file cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		for (Object[] session : new GoldenSessionTests().sessions()) {
			String example = (String) session[0];
			Files.writeString(golden(example), text(session(example, (String) session[1])));
		}
	}

	private static List<String> session(String example, String work) {
		return new SimulatedSession(new GuaranteeScheduler(), plan(example, work)).run(declarations(example));
	}

	private static Path golden(String example) {
		return GOLDEN.resolve(example + ".txt");
	}

	private static String text(List<String> lines) {
		return String.join("\n", lines) + "\n";
	}

	private static WorkPlan plan(String example, String work) {
		return value(WorkFile.read(EXAMPLES.resolve(example).resolve(work)));
	}

	private static Declarations declarations(String example) {
		return value(DeclarationsReader.read(EXAMPLES.resolve(example).resolve("declarations")));
	}

	private static <T> T value(Result<T> result) {
		return switch (result) {
			case Result.Success<T> success -> success.value();
			case Result.Failure<T> failure -> throw new AssertionError(failure.problem().toString());
		};
	}

}
