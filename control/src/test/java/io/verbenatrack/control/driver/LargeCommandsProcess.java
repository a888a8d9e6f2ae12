package io.verbenatrack.control.driver;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.verbenatrack.control.MembershipPolicy;
import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.ReplicaTimings;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;

import static org.awaitility.Awaitility.await;

/**
 * A process whose replica commits large commands, and then starts again from its files.
 */
public final class LargeCommandsProcess {

	private static final ReplicaPeer SELF = new ReplicaPeer(new InstanceId("one"), "127.0.0.1", 1);

	private static final int COMMAND_BYTES = 1 << 19;

	private static final int KEPT_CHARACTERS = 1_000;

	private LargeCommandsProcess() {
	}

	/**
	 * Runs the process. Exits with 0 if every command was committed and the state was
	 * recovered.
	 * @param arguments the data folder and the number of commands
	 * @throws Exception if a command is not committed
	 */
	public static void main(String[] arguments) throws Exception {
		Path folder = Path.of(arguments[0]);
		AppendingStateMachine before = new AppendingStateMachine(KEPT_CHARACTERS);
		try (Replica replica = start(folder, before)) {
			for (int number = 0; number < Integer.parseInt(arguments[1]); number++) {
				ProposalOutcome outcome = replica.propose(new byte[COMMAND_BYTES]).get(20, TimeUnit.SECONDS);
				if (!(outcome instanceof ProposalOutcome.Committed)) {
					throw new IllegalStateException("Command " + number + " was not committed: " + outcome);
				}
			}
		}
		AppendingStateMachine after = new AppendingStateMachine(KEPT_CHARACTERS);
		try (Replica replica = start(folder, after)) {
			System.exit(after.text().equals(before.text()) ? 0 : 2);
		}
	}

	private static Replica start(Path folder, AppendingStateMachine machine) throws IOException {
		ReplicaSettings settings = new ReplicaSettings("test", SELF, List.of(SELF), folder, ReplicaTimings.DEFAULT,
				ReplicaLimits.DEFAULT, MembershipPolicy.DEFAULT, true);
		Replica replica = Replica.start(settings, machine, ReplicaTransport.none(), (notice, detail) -> {
		}, LeaseClock.exact(MonotonicClock.system()));
		await().atMost(Duration.ofSeconds(20)).until(replica::leads);
		return replica;
	}

}
