package io.verbenatrack.state;

import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

import org.testng.annotations.Test;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.ExceptionDeclaration;
import io.verbenatrack.model.FencingToken;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.GangPlacement;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.Slot;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.scheduling.SchedulingDecision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests for {@link RecordCodec}.
 */
public class RecordCodecTests {

	private static final Instant AT = Instant.parse("2026-01-01T00:00:00.123456789Z");

	private final RecordCodec codec = RecordCodec.cbor();

	@Test
	public void decisionsSurviveARoundTrip() {
		JobSpec job = new JobSpec(new JobId("j"), new AccountId("a"), "c", new GangShape(8, 4, 16),
				Duration.ofMillis(1500), Urgency.URGENT, true);
		GangPlacement placement = new GangPlacement(List.of(new Slot(new WorkerId("w"), 0, 8)));
		Guarantee guarantee = new Guarantee(new GangShape(8, 1, 1), 2);
		ExceptionDeclaration exception = new ExceptionDeclaration("x",
				new ExceptionDeclaration.Scope.OneAccount(new AccountId("a")), "backfill", "false", "because",
				Optional.of(AT));
		Declarations declarations = new Declarations(FleetDefaults.STANDARD,
				List.of(new AccountDeclaration(new AccountId("a"), List.of(guarantee), 1, 0)), List.of(exception));
		Batch batch = new Batch(List.of(new SchedulingDecision.AcceptJob(job, AT),
				new SchedulingDecision.PlaceGang(job.id(), new FencingToken(7), placement, AT),
				new SchedulingDecision.AdoptDeclarations(declarations), new SchedulingDecision.EndJob(job.id(),
						new JobOutcome.Refused(AT, new Problem(ProblemKind.INVALID, "m", "r")))));
		assertThat(this.codec.decode(this.codec.encode(batch), Batch.class)).isEqualTo(batch);
	}

	@Test
	public void unknownRecordIsRejectedByName() {
		byte[] newer = RecordCodec.cbor().encode(new NewerEnvelope(new NewerDecision("MoveGang")));
		assertThatExceptionOfType(UncheckedIOException.class)
			.isThrownBy(() -> this.codec.decode(newer, DecisionEnvelope.class))
			.withMessageContaining("MoveGang");
	}

	record NewerDecision(String type) {

	}

	record NewerEnvelope(NewerDecision decision) {

	}

	record DecisionEnvelope(SchedulingDecision decision) {

	}

	record Batch(List<SchedulingDecision> decisions) {

	}

}
