package io.verbenatrack.control.driver;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.control.StateMachine;
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
		ReplicaSettings settings = new ReplicaSettings("test", SELF, List.of(SELF), this.folder, ReplicaTimings.DEFAULT,
				limits, MembershipPolicy.DEFAULT, true);
		Replica replica = Replica.start(settings, machine, ReplicaTransport.none(), (notice, detail) -> {
		}, LeaseClock.exact(MonotonicClock.system()));
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
		ReplicaLimits limits = ReplicaLimits.DEFAULT.withSnapshots(10, 3);
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
			public byte[] snapshot() {
				return new byte[0];
			}

			@Override
			public void restore(byte[] snapshot) {
				// Nothing to restore.
			}

		};
		try (Replica replica = start(failing, ReplicaLimits.DEFAULT)) {
			assertThat(propose(replica, "a")).isEqualTo(new ProposalOutcome.Unknown());
			assertThat(replica.leads()).isFalse();
			assertThat(replica.halted()).isTrue();
			await().atMost(Duration.ofSeconds(5)).until(() -> !protocolThreadRuns());
		}
	}

}
