package io.verbenatrack.server.http;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.server.command.CommandProblems;
import io.verbenatrack.server.command.EntryReply;
import io.verbenatrack.settings.DeclarationsJson;

/**
 * Maps replies of the leading replica to responses of the HTTP API.
 */
final class ReplyResponseMapper {

	private static final int HTTP_OK = 200;

	private final ApiJsonCodec jsonCodec;

	ReplyResponseMapper(ApiJsonCodec jsonCodec) {
		this.jsonCodec = jsonCodec;
	}

	ApiResponse map(EntryReply reply) {
		return switch (reply) {
			case EntryReply.Failed failed -> ApiResponse.problem(this.jsonCodec, failed.problem());
			case EntryReply.NotLeading notLeading -> ApiResponse.problem(this.jsonCodec, CommandProblems.noLeader());
			case EntryReply.Recorded recorded -> json(new RecordedBody("recorded"));
			case EntryReply.JobStatus status -> json(body(status));
			case EntryReply.WorkerLease lease -> json(new LeaseBody(lease.duration().toMillis()));
			case EntryReply.ChangeAccepted accepted ->
				json(new RevisionBody(accepted.revision().epoch(), accepted.revision().number()));
			case EntryReply.ChangeLost lost -> ApiResponse.problem(this.jsonCodec, conflict(lost));
			case EntryReply.DeclarationsInForce current ->
				new ApiResponse(HTTP_OK, ApiResponse.JSON, declarations(current));
			case EntryReply.View view -> json(view.view());
			case EntryReply.ClaimGranted granted -> json(new RecordedBody("granted"));
			case EntryReply.ClaimHeld held -> json(new RecordedBody("running"));
			case EntryReply.ClaimAnswered answered -> json(new RecordedBody("answered"));
			case EntryReply.ClaimDiffers differs -> json(new RecordedBody("different"));
		};
	}

	ApiResponse json(Object body) {
		return new ApiResponse(HTTP_OK, ApiResponse.JSON, this.jsonCodec.write(body));
	}

	private static JobBody body(EntryReply.JobStatus status) {
		return new JobBody(status.job().value(), status.phase(), status.reason(), outcome(status.outcome()));
	}

	private static String outcome(Optional<JobOutcome> outcome) {
		return outcome.map((value) -> value.getClass().getSimpleName().toLowerCase(Locale.ROOT)).orElse(null);
	}

	private static Problem conflict(EntryReply.ChangeLost lost) {
		String winner = lost.winner()
			.map((change) -> "Change " + change + " of " + lost.operator() + " came first; ")
			.orElse("");
		return new Problem(ProblemKind.CONFLICT, winner + "Revision " + lost.current().number() + " is in force.",
				"Fetch the declarations, make your change on that revision, and apply it with a new change id.");
	}

	private static byte[] declarations(EntryReply.DeclarationsInForce current) {
		String json = "{\"epoch\": " + current.revision().epoch() + ", \"revision\": " + current.revision().number()
				+ ", \"declarations\": " + DeclarationsJson.write(current.declarations()) + "}";
		return json.getBytes(StandardCharsets.UTF_8);
	}

	private record RecordedBody(String result) {

	}

	private record JobBody(String id, String state, String reason, String outcome) {

	}

	private record LeaseBody(long leaseMs) {

	}

	private record RevisionBody(long epoch, long revision) {

	}

}
