package io.verbenatrack.cli;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobSpec;
import io.verbenatrack.model.Urgency;
import io.verbenatrack.settings.DurationFormat;

/**
 * Submits a job.
 */
record SubmitCommand() implements Command {

	private static final String ACCOUNT = "account";

	private static final String CLASS = "class";

	private static final String ACCELERATORS = "accelerators";

	private static final String CORES = "cores-per-accelerator";

	private static final String MEMORY = "memory-gib-per-accelerator";

	private static final String RUN_TIME = "run-time";

	private static final String URGENT = "urgent";

	private static final String NOT_CHECKPOINTABLE = "not-checkpointable";

	@Override
	public String name() {
		return "submit";
	}

	@Override
	public String summary() {
		return "Submits a job; a resend with the same id and content is harmless.";
	}

	@Override
	public Options options() {
		return CommandOptions.remote()
			.addOption(CommandOptions.required(CommandOptions.JOB, "ID", "name of the job"))
			.addOption(CommandOptions.required(ACCOUNT, "ID", "client account that pays for it"))
			.addOption(CommandOptions.required(CLASS, "NAME", "class of similar jobs"))
			.addOption(CommandOptions.required(ACCELERATORS, "N", "adjacent accelerators, 1 to 64"))
			.addOption(CommandOptions.required(RUN_TIME, "DURATION", "estimate such as 90m"))
			.addOption(CommandOptions.optional(CORES, "N", "processor cores beside each accelerator"))
			.addOption(CommandOptions.optional(MEMORY, "N", "memory beside each accelerator, in GiB"))
			.addOption(CommandOptions.flag(URGENT, "starts at once, reclaiming borrowed accelerators if it must"))
			.addOption(CommandOptions.flag(NOT_CHECKPOINTABLE, "cannot save its progress"));
	}

	@Override
	public List<String> examples() {
		return List
			.of("submit --job night-17 --account van-routes --class route-plan --accelerators 16 --run-time 90m");
	}

	@Override
	public ExitCode run(CommandLine line, Console console) throws UsageException {
		OutputFormat format = CommandOptions.output(line);
		InstanceCall call = new InstanceCall("POST", "/v1/jobs", json(job(line)), true);
		try (InstanceClient client = InstanceClient.of(line)) {
			return ReplyPrinter.send(client, call, format, console);
		}
	}

	private static JobSpec job(CommandLine line) throws UsageException {
		String runTimeText = line.getOptionValue(RUN_TIME);
		Duration runTime = DurationFormat.parse(runTimeText)
			.orElseThrow(() -> new UsageException("The option --run-time has '" + runTimeText + "'.",
					DurationFormat.REMEDY));
		try {
			GangShape shape = new GangShape(count(line, ACCELERATORS), count(line, CORES), count(line, MEMORY));
			return new JobSpec(new JobId(line.getOptionValue(CommandOptions.JOB)),
					new AccountId(line.getOptionValue(ACCOUNT)), line.getOptionValue(CLASS), shape, runTime,
					line.hasOption(URGENT) ? Urgency.URGENT : Urgency.NORMAL, !line.hasOption(NOT_CHECKPOINTABLE));
		}
		catch (IllegalArgumentException ex) {
			throw new UsageException("The job is not valid.", ex.getMessage());
		}
	}

	private static int count(CommandLine line, String option) throws UsageException {
		return (int) Math.max(-1, Math.min(Integer.MAX_VALUE, CommandOptions.number(line, option, 0)));
	}

	private static String json(JobSpec job) {
		StringWriter text = new StringWriter();
		try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
			json.writeStartObject();
			json.writeStringField("id", job.id().value());
			json.writeStringField("account", job.account().value());
			json.writeStringField("class", job.jobClass());
			json.writeNumberField("accelerators", job.shape().accelerators());
			json.writeNumberField("coresPerAccelerator", job.shape().coresPerAccelerator());
			json.writeNumberField("memoryGibPerAccelerator", job.shape().memoryGibPerAccelerator());
			json.writeStringField("runTime", DurationFormat.format(job.declaredRunTime()));
			json.writeStringField("urgency", (job.urgency() != Urgency.URGENT) ? "normal" : "urgent");
			json.writeBooleanField("checkpointable", job.checkpointable());
			json.writeEndObject();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return text.toString();
	}

}
