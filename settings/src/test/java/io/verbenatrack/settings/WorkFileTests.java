package io.verbenatrack.settings;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;

import org.testng.annotations.Test;

import io.verbenatrack.model.Declarations;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WorkFile}.
 */
public class WorkFileTests {

	private static final Duration MAXIMUM_REAL_DURATION = Duration.ofSeconds(60);

	@Test
	public void theExamplesHaveTheExpectedFleetSize() {
		for (String example : new String[] { "hamid/night.yaml", "visina/day.yaml" }) {
			WorkPlan plan = plan(example);
			assertThat(plan.workers()).hasSize(30).allMatch((worker) -> worker.accelerators() == 8);
			assertThat(plan.targets()).hasSize(30).allMatch((target) -> target.slots() == 8);
			assertThat(plan.targets().stream().map(WorkPlan.PlannedTarget::zone).distinct()).hasSize(3);
			assertThat(plan.toRealTime(plan.jobs().getLast().arrival())).isLessThan(MAXIMUM_REAL_DURATION);
		}
	}

	@Test
	public void theExamplesUseDeclaredAccounts() {
		Path folder = Examples.folder();
		Declarations hamid = Examples.value(DeclarationsReader.read(folder.resolve("hamid/declarations")));
		Declarations visina = Examples.value(DeclarationsReader.read(folder.resolve("visina/declarations")));
		assertThat(plan("hamid/night.yaml").jobs()).allMatch((job) -> hamid.account(job.job().account()).isPresent());
		assertThat(plan("visina/day.yaml").requests()).allMatch((item) -> visina.account(item.account()).isPresent());
	}

	@Test
	public void theSameFileGivesTheSamePlan() {
		assertThat(plan("hamid/night.yaml")).isEqualTo(plan("hamid/night.yaml"));
	}

	@Test
	public void anotherSeedGivesAnotherPlan() {
		String text = "seed: 1\nstart: 2026-01-01T00:00:00Z\njobs: {streams: [{name: s, account: a, class: c, count: 9,"
				+ " accelerators: [1, 2], run-time: {minimum: 1m, maximum: 9m}}]}\n";
		assertThat(read(text).jobs()).hasSize(9).isNotEqualTo(read(text.replace("seed: 1", "seed: 2")).jobs());
	}

	@Test
	public void anInvalidValueIsReportedWithItsLocation() {
		String text = "seed: 1\nstart: 2026-01-01T00:00:00Z\njobs: {streams: [{name: s, account: a, class: c, count: 9,"
				+ " accelerators: [0], run-time: {minimum: 1m, maximum: 9m}}]}\n";
		assertThat(Examples.problem(WorkFile.read("w.yaml", text.getBytes(StandardCharsets.UTF_8))).message())
			.isEqualTo("w.yaml:3: The key 'jobs.streams[0].accelerators' has '0'.");
	}

	private static WorkPlan plan(String example) {
		return Examples.value(WorkFile.read(Examples.folder().resolve(example)));
	}

	private static WorkPlan read(String text) {
		return Examples.value(WorkFile.read("w.yaml", text.getBytes(StandardCharsets.UTF_8)));
	}

}
