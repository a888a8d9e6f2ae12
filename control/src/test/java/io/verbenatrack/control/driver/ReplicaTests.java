package io.verbenatrack.control.driver;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.control.LogLimits;
import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.control.StateMachine;
import io.verbenatrack.control.replica.ReplicaNotice;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link Replica} with a single replica on a real disk.
 */
public class ReplicaTests {

	private static final ReplicaPeer SELF = new ReplicaPeer(new InstanceId("one"), "127.0.0.1", 1);

	private Path folder;

	@BeforeMethod
	void createFolder() throws IOException {
		this.folder = Files.createTempDirectory("replica");
	}

	private Replica start(StateMachine machine, ReplicaLimits limits) throws IOException {
		return start(machine, limits, (notice, detail) -> {
		});
	}

	private Replica start(StateMachine machine, ReplicaLimits limits, ReplicaListener listener) throws IOException {
		ReplicaSettings settings = new ReplicaSettings("test", SELF, List.of(SELF), this.folder, ReplicaTimings.DEFAULT,
				limits, MembershipPolicy.DEFAULT, true);
		Replica replica = Replica.start(settings, machine, ReplicaTransport.none(), listener,
				LeaseClock.exact(MonotonicClock.system()));
		await().atMost(Duration.ofSeconds(10)).until(replica::leads);
		return replica;
	}

	private static ProposalOutcome propose(Replica replica, String command) throws Exception {
		return replica.propose(command.getBytes(StandardCharsets.UTF_8)).get(10, TimeUnit.SECONDS);
	}

	private static boolean protocolThreadRuns() {
		return Thread.getAllStackTraces()
			.keySet()
			.stream()
			.anyMatch((thread) -> thread.getName().equals("replica-protocol"));
	}

	@Test
	public void commitsAndAppliesInOrder() throws Exception {
		AppendingStateMachine machine = new AppendingStateMachine();
		try (Replica replica = start(machine, ReplicaLimits.DEFAULT)) {
			assertThat(propose(replica, "a")).isInstanceOf(ProposalOutcome.Committed.class);
			ProposalOutcome second = propose(replica, "b");
			assertThat(second).isInstanceOfSatisfying(ProposalOutcome.Committed.class,
					(committed) -> assertThat(committed.result()).asString().isEqualTo("2"));
			assertThat(replica.confirmLeadership().get(10, TimeUnit.SECONDS)).contains(replica.term());
			assertThat(machine.text()).isEqualTo("a b ");
		}
	}

	@Test
	public void restoresStateAfterRestart() throws Exception {
		try (Replica replica = start(new AppendingStateMachine(), ReplicaLimits.DEFAULT)) {
			propose(replica, "a");
			propose(replica, "b");
		}
		AppendingStateMachine restarted = new AppendingStateMachine();
		try (Replica replica = start(restarted, ReplicaLimits.DEFAULT)) {
			assertThat(restarted.text()).isEqualTo("a b ");
			propose(replica, "c");
			assertThat(restarted.text()).isEqualTo("a b c ");
		}
	}

	@Test
	public void restartsFromSnapshotAndLaterEntries() throws Exception {
		ReplicaLimits limits = ReplicaLimits.DEFAULT.withLog(LogLimits.DEFAULT.withEntries(10, 3));
		AppendingStateMachine before = new AppendingStateMachine();
		try (Replica replica = start(before, limits)) {
			for (int i = 0; i < 57; i++) {
				propose(replica, "c" + i);
			}
		}
		AppendingStateMachine restarted = new AppendingStateMachine();
		try (Replica replica = start(restarted, limits)) {
			assertThat(restarted.text()).isEqualTo(before.text());
			assertThat(replica.appliedIndex()).isGreaterThan(57);
		}
	}

	private long logBytes() throws IOException {
		try (Stream<Path> files = Files.list(this.folder)) {
			return files.filter((file) -> file.getFileName().toString().endsWith(".records"))
				.mapToLong((file) -> file.toFile().length())
				.sum();
		}
	}

	// Guards against a log that outgrows memory and disk: few commands, but large ones.
	@Test
	public void logOfLargeCommandsIsCompactedBySize() throws Exception {
		LogLimits limits = LogLimits.DEFAULT.withBytes(100_000, 30_000);
		int commandBytes = 10_000;
		AppendingStateMachine machine = new AppendingStateMachine(1_000);
		try (Replica replica = start(machine, ReplicaLimits.DEFAULT.withLog(limits))) {
			for (int i = 0; i < 60; i++) {
				propose(replica, Integer.toString(i % 10).repeat(commandBytes));
			}
			await().atMost(Duration.ofSeconds(10)).until(() -> logBytes() < 200_000);
		}
		AppendingStateMachine restarted = new AppendingStateMachine(1_000);
		try (Replica replica = start(restarted, ReplicaLimits.DEFAULT.withLog(limits))) {
			assertThat(restarted.text()).isEqualTo(machine.text());
		}
	}

	// Guards against a snapshot after each few entries of a state that is itself large.
	@Test
	public void largeStateIsNotWrittenMoreOftenThanTheLogOutgrowsIt() throws Exception {
		LogLimits limits = LogLimits.DEFAULT.withBytes(1_000, 1_000);
		List<ReplicaNotice> notices = new CopyOnWriteArrayList<>();
		try (Replica replica = start(new AppendingStateMachine(), ReplicaLimits.DEFAULT.withLog(limits),
				(notice, detail) -> notices.add(notice))) {
			propose(replica, "x".repeat(100_000));
			for (int i = 0; i < 50; i++) {
				propose(replica, "y".repeat(1_000));
			}
		}
		assertThat(notices).filteredOn(ReplicaNotice.COMPACTED::equals).hasSize(1);
	}

	@Test
	public void refusesOversizedCommandAndContinues() throws Exception {
		try (Replica replica = start(new AppendingStateMachine(), ReplicaLimits.DEFAULT)) {
			byte[] large = new byte[ReplicaLimits.DEFAULT.commandBytes() + 1];
			assertThat(replica.propose(large).get(10, TimeUnit.SECONDS)).isInstanceOf(ProposalOutcome.Refused.class);
			assertThat(propose(replica, "a")).isInstanceOf(ProposalOutcome.Committed.class);
		}
	}

	@Test
	public void secondProcessOnSameFolderIsRejected() throws Exception {
		try (Replica replica = start(new AppendingStateMachine(), ReplicaLimits.DEFAULT)) {
			assertThat(replica.leads()).isTrue();
			assertThatThrownBy(() -> start(new AppendingStateMachine(), ReplicaLimits.DEFAULT))
				.isInstanceOf(IOException.class)
				.hasMessageContaining("Another process holds the data folder")
				.hasMessageContaining("Stop it");
		}
	}

	// Guards against a replica that keeps leading after an Error ended one of its
	// threads.
	@Test
	public void errorInStateMachineHaltsReplica() throws Exception {
		StateMachine failing = new StateMachine() {

			@Override
			public byte[] apply(long index, byte[] command) {
				throw new StackOverflowError("test");
			}

			@Override
			public void snapshot(OutputStream output) {
				// Nothing to write.
			}

			@Override
			public void restore(InputStream snapshot) {
				// Nothing to restore.
			}

		};
		try (Replica replica = start(failing, ReplicaLimits.DEFAULT)) {
			assertThat(propose(replica, "a")).isEqualTo(new ProposalOutcome.Unknown());
			assertThat(replica.leads()).isFalse();
			assertThat(replica.halted()).isTrue();
			// The Error is expected in the handler of the thread that it ended.
			await().dontCatchUncaughtExceptions().atMost(Duration.ofSeconds(5)).until(() -> !protocolThreadRuns());
		}
	}

	private Replica startWithInitialMembers(ReplicaPeer... initialMembers) throws IOException {
		ReplicaSettings settings = new ReplicaSettings("test", SELF, List.of(initialMembers), this.folder);
		return Replica.start(settings, new AppendingStateMachine(), ReplicaTransport.none(), (notice, detail) -> {
		}, LeaseClock.exact(MonotonicClock.system()));
	}

	// Guards against an added instance that forms a second cluster once its changed
	// settings name it.
	@Test
	public void replicaThatIsNamedOnlyLaterFormsNoCluster() throws IOException {
		startWithInitialMembers(new ReplicaPeer(new InstanceId("two"), "127.0.0.1", 2)).close();
		try (Replica replica = startWithInitialMembers(SELF)) {
			await().during(Duration.ofMillis(500))
				.atMost(Duration.ofSeconds(5))
				.until(() -> replica.status().membership().getVotersCount() == 0);
		}
	}

	// Guards against an initial member that can form no cluster any more since its
	// settings have changed for a while.
	@Test
	public void replicaThatWasNamedAtFirstStartFormsCluster() throws IOException {
		ReplicaPeer other = new ReplicaPeer(new InstanceId("two"), "127.0.0.1", 2);
		startWithInitialMembers(SELF, other).close();
		startWithInitialMembers(other).close();
		try (Replica replica = startWithInitialMembers(SELF)) {
			await().atMost(Duration.ofSeconds(10)).until(replica::leads);
		}
	}

}
