package io.verbenatrack.server.log;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Instant;
import java.util.List;
import java.util.function.Function;

import org.testng.annotations.Test;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.routing.KeptAnswer;
import io.verbenatrack.routing.SlotUse;
import io.verbenatrack.routing.TargetDelta;
import io.verbenatrack.scheduling.SchedulingDecision;
import io.verbenatrack.scheduling.policy.GuaranteeScheduler;
import io.verbenatrack.server.command.CommandCodec;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;
import io.verbenatrack.state.RecordCodec;
import io.verbenatrack.state.claims.ClaimCodec;
import io.verbenatrack.state.claims.ClaimState;
import io.verbenatrack.state.configuration.ConfigurationCodec;
import io.verbenatrack.state.configuration.ConfigurationState;
import io.verbenatrack.state.golden.GoldenBytes;
import io.verbenatrack.state.golden.SampleRecords;

/**
 * Compares the encoding of log entries, snapshots and calls between instances with golden
 * files.
 */
public class ServerFormatTests {

	private final GoldenBytes golden = new GoldenBytes(ServerFormatTests.class, "golden-bytes.txt");

	private final RecordCodec records = RecordCodec.cbor();

	@Test
	public void entryCommandKeepsItsBytes() {
		CommandCodec codec = new CommandCodec();
		Function<EntryCommand, byte[]> encoder = codec::encode;
		this.golden.assertCompatible("command", SampleRecords.of(EntryCommand.class), codec::decodeCommand, encoder);
	}

	@Test
	public void entryReplyKeepsItsBytes() {
		CommandCodec codec = new CommandCodec();
		Function<EntryReply, byte[]> encoder = codec::encode;
		this.golden.assertCompatible("reply", SampleRecords.of(EntryReply.class), codec::decodeReply, encoder);
	}

	@Test
	public void decisionKeepsItsBytes() {
		hold("decisions", DecisionBatch.class);
	}

	@Test
	public void targetChangeKeepsItsBytes() {
		hold("target", TargetDelta.class);
	}

	@Test
	public void slotUseKeepsItsBytes() {
		hold("slots", SlotUse.class);
	}

	@Test
	public void keptAnswerKeepsItsBytes() {
		hold("answer", KeptAnswer.class);
	}

	private <T> void hold(String form, Class<T> type) {
		this.golden.assertCompatible(form, SampleRecords.of(type), (bytes) -> this.records.decode(bytes, type),
				this.records::encode);
	}

	@Test
	public void controlSnapshotKeepsItsBytes() {
		ControlStateMachine sample = machine();
		sample.apply(1, CommandKind.CONFIGURATION
			.frame(ConfigurationCodec.change(new ChangeId("change"), "operator", 0, new byte[] { 1 })));
		sample.apply(2, CommandKind.CLAIM.frame(ClaimCodec.claim(new RequestId("request"), new AccountId("account"),
				"digest", new InstanceId("instance"), new AttemptId("attempt"), Instant.ofEpochSecond(60))));
		List<SchedulingDecision> decisions = List.of(SampleRecords.of(SchedulingDecision.AdmitWorker.class).getFirst(),
				SampleRecords.of(SchedulingDecision.AcceptJob.class).getFirst());
		sample.apply(3, CommandKind.DECISIONS.frame(this.records.encode(new DecisionBatch(1, decisions))));
		this.golden.assertCompatible("snapshot", List.of(sample), this::restored, ServerFormatTests::snapshot);
	}

	private static byte[] snapshot(ControlStateMachine machine) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		try {
			machine.snapshot(output);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return output.toByteArray();
	}

	private ControlStateMachine restored(byte[] bytes) {
		ControlStateMachine machine = machine();
		try {
			machine.restore(new ByteArrayInputStream(bytes));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return machine;
	}

	private ControlStateMachine machine() {
		return new ControlStateMachine(new ConfigurationState(), new ClaimState(10, 1_000),
				new JobsState(GuaranteeScheduler::new, this.records), this.records);
	}

}
