package io.verbenatrack.fleet.policy;

import java.util.List;
import java.util.Map;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.fleet.model.JobPlan;
import io.verbenatrack.fleet.state.Cancellation;
import io.verbenatrack.fleet.state.FleetBatch;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.model.AccountId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link JobAdmission}: the load pattern of one account that hands in as many
 * jobs as it can.
 */
public class JobAdmissionTests {

	private static final AccountId GREEDY = new AccountId("greedy");

	private static final AccountId MODEST = new AccountId("modest");

	private static final JobAdmission ADMISSION = new JobAdmission(1_000_000);

	private FleetState state;

	private int jobs;

	@BeforeMethod
	void createState() {
		this.state = new FleetState();
		this.jobs = 0;
		apply(new FleetCommand.AdoptConfiguration(Fixtures.configuration(1), new byte[0]));
	}

	private void apply(FleetCommand command) {
		assertThat(this.state.apply(new FleetBatch(1, this.state.lastSequence(1) + 1, List.of(command)))).isTrue();
	}

	private long accept(AccountId account, int tasks) {
		JobPlan plan = Fixtures.plan(Fixtures.step(tasks, 1, false));
		long before = this.state.bytesByAccount().getOrDefault(account, 0L);
		apply(new FleetCommand.AcceptJob(Fixtures.job(++this.jobs), "batch", account, plan, 0));
		return this.state.bytesByAccount().get(account) - before;
	}

	private boolean admits(AccountId account, long bytes) {
		return ADMISSION.admits(this.state, Map.of(), account, bytes);
	}

	// Guards against refusals of an account within its share, since another one has
	// filled the memory.
	@Test
	public void accountWithinItsShareIsAdmittedWhileAnotherFillsTheMemory() {
		long bytes = accept(GREEDY, 100);
		while (admits(GREEDY, bytes)) {
			accept(GREEDY, 100);
		}
		assertThat(this.state.bytesByAccount().get(GREEDY)).isBetween(700_000L, 750_000L);
		while (admits(MODEST, bytes)) {
			accept(MODEST, 100);
		}
		assertThat(this.state.bytesByAccount().get(MODEST)).isBetween(200_000L, 250_000L);
		assertThat(admits(GREEDY, bytes)).isFalse();
	}

	@Test
	public void jobsThatAreAcceptedInTheSameTurnCount() {
		assertThat(ADMISSION.admits(this.state, Map.of(GREEDY, 700_000L), GREEDY, 40_000)).isTrue();
		assertThat(ADMISSION.admits(this.state, Map.of(GREEDY, 700_000L), GREEDY, 60_000)).isFalse();
	}

	// Guards against cancellations of unknown jobs that fill the memory of the replicas,
	// or take the room of another account or of jobs.
	@Test
	public void cancellationsOfUnknownJobsAreBoundedForEachAccount() {
		while (ADMISSION.admitsCancellation(this.state, 0, GREEDY)) {
			apply(new FleetCommand.CancelUnknownJob(new Cancellation(GREEDY, Fixtures.job(++this.jobs))));
		}
		assertThat(this.state.cancellations().bytes(GREEDY)).isBetween(60_000L, 62_500L);
		assertThat(ADMISSION.admitsCancellation(this.state, 200, MODEST)).isTrue();
		assertThat(ADMISSION.admitsCancellation(this.state, 210, MODEST)).isFalse();
		assertThat(admits(GREEDY, 700_000)).isTrue();
		apply(new FleetCommand.ForgetCancellations(List.of(new Cancellation(GREEDY, Fixtures.job(1)))));
		assertThat(ADMISSION.admitsCancellation(this.state, 0, GREEDY)).isTrue();
	}

}
