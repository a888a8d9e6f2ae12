package io.verbenatrack.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * Prints the outcome of a call and maps it to an exit code.
 */
final class ReplyPrinter {

	private static final int FIRST_SUCCESS_STATUS = 200;

	private static final int FIRST_REDIRECT_STATUS = 300;

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private ReplyPrinter() {
	}

	/**
	 * Sends a call and prints its reply.
	 * @param client the client
	 * @param call the call
	 * @param format the output format
	 * @param console the output streams
	 * @return the exit code
	 */
	static ExitCode send(InstanceClient client, InstanceCall call, OutputFormat format, Console console) {
		return switch (client.send(call)) {
			case InstanceReply.Answered answered -> print(answered, format, console);
			case InstanceReply.Unreachable unreachable -> console.fail(unreachable.problem(), ExitCode.UNREACHABLE);
			case InstanceReply.Lost lost -> console.fail(lost.problem(), ExitCode.UNKNOWN);
		};
	}

	private static ExitCode print(InstanceReply.Answered answered, OutputFormat format, Console console) {
		JsonNode body = parse(answered.body());
		if (answered.status() >= FIRST_SUCCESS_STATUS && answered.status() < FIRST_REDIRECT_STATUS) {
			console.out().print((format != OutputFormat.JSON) ? JsonFormatter.of(body) : answered.body() + "\n");
			return ExitCode.DONE;
		}
		if (format == OutputFormat.JSON) {
			console.out().print(answered.body() + "\n");
		}
		boolean outcomeUnknown = answered.status() == ProblemKind.UNKNOWN_OUTCOME.httpStatus();
		return console.fail(problem(answered, body), outcomeUnknown ? ExitCode.UNKNOWN : ExitCode.REFUSED);
	}

	private static Problem problem(InstanceReply.Answered answered, JsonNode body) {
		String message = body.path("message").asText("The instance answered with status " + answered.status() + ".");
		return new Problem(ProblemKind.INVALID, message, body.path("remedy").asText("See docs/API.md."));
	}

	private static JsonNode parse(String body) {
		try {
			return MAPPER.readTree(body);
		}
		catch (JsonProcessingException ex) {
			return MAPPER.getNodeFactory().textNode(body);
		}
	}

}
