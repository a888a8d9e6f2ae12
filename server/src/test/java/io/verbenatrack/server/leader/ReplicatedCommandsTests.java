package io.verbenatrack.server.leader;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicReference;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.RequestSpec;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.scheduling.baseline.FirstFitScheduler;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;
import io.verbenatrack.server.log.ControlStateMachine;
import io.verbenatrack.server.log.JobsState;
import io.verbenatrack.state.RecordCodec;
import io.verbenatrack.state.claims.ClaimState;
import io.verbenatrack.state.configuration.ConfigurationState;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReplicatedCommands}.
 */
public class ReplicatedCommandsTests {

	private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

	private static final Duration RETENTION = Duration.ofHours(1);

	private final RecordCodec codec = RecordCodec.cbor();

	private final AtomicReference<Instant> now = new AtomicReference<>(START);

	private ClaimState claims;

	private ReplicatedCommands commands;

	@BeforeMethod
	public void create() {
		this.now.set(START);
		this.claims = new ClaimState(1, 1_000);
		ConfigurationState configuration = new ConfigurationState();
		JobsState jobs = new JobsState(FirstFitScheduler::new, this.codec);
		this.commands = new ReplicatedCommands(
				new ImmediateCommitLog(new ControlStateMachine(configuration, this.claims, jobs, this.codec)),
				configuration, this.claims, jobs, this.codec, this.now::get);
	}

	@Test
	public void claimIsKeptUntilItsRetentionIsOver() {
		assertThat(claim("r-1")).isInstanceOf(EntryReply.ClaimGranted.class);
		this.now.set(START.plus(RETENTION).minusMillis(1));
		this.commands.expireClaims();
		assertThat(claim("r-2")).isInstanceOf(EntryReply.Failed.class);
	}

	@Test
	public void claimIsForgottenOnceItsRetentionIsOver() {
		assertThat(claim("r-1")).isInstanceOf(EntryReply.ClaimGranted.class);
		this.now.set(START.plus(RETENTION));
		this.commands.expireClaims();
		assertThat(claim("r-2")).isInstanceOf(EntryReply.ClaimGranted.class);
		assertThat(this.claims.size()).isEqualTo(1);
	}

	private EntryReply claim(String id) {
		RequestSpec request = new RequestSpec(new RequestId(id), new ServiceId("jalan"), new AccountId("a"), false,
				this.now.get().plusSeconds(10));
		return this.commands
			.execute(new EntryCommand.ClaimRequest(request, "00", new AttemptId("t-" + id), new InstanceId("i"),
					RETENTION))
			.join();
	}

}
