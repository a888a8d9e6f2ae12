package io.verbenatrack.server;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.awaitility.Awaitility;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a cluster of instances over loopback.
 */
public class ClusterTests {

	/** The last instance, which is not a control replica. */
	private static final int ENTRY_INSTANCE = 3;

	private static final int INSTANCES = 4;

	/** Fewer than the own share of slots of an instance. */
	private static final int REQUESTS_IN_FLIGHT = 4;

	private static final String LEADER_GAUGE = "verbenatrack_control_leader 1.0";

	private ClusterFixture cluster;

	@BeforeMethod
	public void start() throws Exception {
		this.cluster = new ClusterFixture(INSTANCES);
	}

	@AfterMethod
	public void stop() {
		this.cluster.close();
	}

	@Test
	public void jobsSubmittedBeforeAndAfterTheLeaderStopsAllFinish() throws Exception {
		this.cluster.addWorkers(2);
		for (int i = 0; i < 10; i++) {
			assertThat(this.cluster.submit(ENTRY_INSTANCE, "before-" + i, 1 + i % 8)).isEqualTo(202);
		}
		this.cluster.stop(leader());
		for (int i = 0; i < 10; i++) {
			String job = "after-" + i;
			Awaitility.await()
				.atMost(ClusterFixture.AWAIT_TIMEOUT)
				.until(() -> this.cluster.submit(ENTRY_INSTANCE, job, 16) == 202);
		}
		for (int i = 0; i < 10; i++) {
			awaitFinished("before-" + i);
			awaitFinished("after-" + i);
		}
	}

	@Test
	public void resendThroughAnotherInstanceGetsTheKeptAnswer() throws Exception {
		this.cluster.addTargets(3);
		Awaitility.await()
			.atMost(ClusterFixture.AWAIT_TIMEOUT)
			.until(() -> this.cluster.sendRequest(ENTRY_INSTANCE, "warm-up", true).statusCode() == 200);
		HttpResponse<String> first = this.cluster.sendRequest(ENTRY_INSTANCE, "certificate-1", false);
		Awaitility.await()
			.atMost(ClusterFixture.AWAIT_TIMEOUT)
			.until(() -> this.cluster.sendRequest(0, "warm-up-2", true).statusCode() == 200);
		HttpResponse<String> second = this.cluster.sendRequest(0, "certificate-1", false);
		assertThat(first.statusCode()).isEqualTo(200);
		assertThat(second.body()).isEqualTo(first.body());
		assertThat(this.cluster.runs("certificate-1")).isEqualTo(1);
	}

	@Test
	public void gracefulShutdownFinishesRequestsInFlight() throws Exception {
		this.cluster.addTargets(3);
		Awaitility.await()
			.atMost(ClusterFixture.AWAIT_TIMEOUT)
			.until(() -> this.cluster.sendRequest(ENTRY_INSTANCE, "warm-up", true).statusCode() == 200);
		try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
			List<CompletableFuture<Integer>> answers = new ArrayList<>();
			for (int i = 0; i < REQUESTS_IN_FLIGHT; i++) {
				String id = "slow-" + i;
				answers.add(CompletableFuture.supplyAsync(() -> statusOf(id), callers));
			}
			Awaitility.await()
				.atMost(ClusterFixture.AWAIT_TIMEOUT)
				.until(() -> answers.stream().noneMatch(CompletableFuture::isDone)
						&& runsOfSlow() == REQUESTS_IN_FLIGHT);
			this.cluster.shutdown(ENTRY_INSTANCE);
			assertThat(answers).allSatisfy((answer) -> assertThat(answer.join()).isEqualTo(200));
		}
	}

	private int runsOfSlow() {
		int runs = 0;
		for (int i = 0; i < REQUESTS_IN_FLIGHT; i++) {
			runs += this.cluster.runs("slow-" + i);
		}
		return runs;
	}

	private int statusOf(String id) {
		try {
			return this.cluster.sendRequest(ENTRY_INSTANCE, id, false).statusCode();
		}
		catch (Exception ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Test
	public void instanceWithoutAQuorumStopsAdmittingAndIsNotReady() throws Exception {
		this.cluster.addTargets(3);
		Awaitility.await()
			.atMost(ClusterFixture.AWAIT_TIMEOUT)
			.until(() -> this.cluster.sendRequest(ENTRY_INSTANCE, "warm-up", true).statusCode() == 200);
		int leader = leader();
		this.cluster.stop(leader);
		this.cluster.stop((leader + 1) % ENTRY_INSTANCE);
		Awaitility.await()
			.atMost(ClusterFixture.AWAIT_TIMEOUT)
			.until(() -> this.cluster.status(ENTRY_INSTANCE, "/readyz") == 503);
		HttpResponse<String> refused = this.cluster.sendRequest(ENTRY_INSTANCE, "late", true);
		assertThat(refused.headers().firstValue("Verbenatrack-Outcome")).contains("not-run");
		assertThat(this.cluster.runs("late")).isZero();
	}

	private int leader() throws Exception {
		Awaitility.await().atMost(ClusterFixture.AWAIT_TIMEOUT).until(() -> findLeader() >= 0);
		return findLeader();
	}

	private int findLeader() throws Exception {
		for (int number = 0; number < ENTRY_INSTANCE; number++) {
			if (this.cluster.get(number, "/metrics").contains(LEADER_GAUGE)) {
				return number;
			}
		}
		return -1;
	}

	private void awaitFinished(String job) {
		Awaitility.await()
			.atMost(ClusterFixture.AWAIT_TIMEOUT)
			.untilAsserted(
					() -> assertThat(this.cluster.job(ENTRY_INSTANCE, job)).contains("\"outcome\":\"finished\""));
	}

}
