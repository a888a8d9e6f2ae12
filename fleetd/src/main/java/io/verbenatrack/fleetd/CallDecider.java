package io.verbenatrack.fleetd;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.regex.Pattern;

import io.verbenatrack.fleet.call.FleetCall;
import io.verbenatrack.fleet.call.FleetReply;
import io.verbenatrack.fleet.model.ConfigurationIndex;
import io.verbenatrack.fleet.model.ConfigurationValidator;
import io.verbenatrack.fleet.model.FleetAccount;
import io.verbenatrack.fleet.model.JobPhase;
import io.verbenatrack.fleet.model.Queue;
import io.verbenatrack.fleet.model.WorkerReport;
import io.verbenatrack.fleet.policy.FleetScheduler;
import io.verbenatrack.fleet.policy.JobAdmission;
import io.verbenatrack.fleet.policy.JobRefusals;
import io.verbenatrack.fleet.policy.ReportCheck;
import io.verbenatrack.fleet.state.Cancellation;
import io.verbenatrack.fleet.state.FleetCommand;
import io.verbenatrack.fleet.state.FleetState;
import io.verbenatrack.fleet.state.JobFootprint;
import io.verbenatrack.fleet.state.JobState;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * Decides on calls: resolves the queue, checks the API key and determines the commands to
 * commit. Callers may repeat a call, so all decisions are idempotent.
 */
final class CallDecider {

	private static final Pattern JOB_ID = Pattern.compile("[0-9a-fA-F]{16}");

	/** The account of callers of a queue that requires no API key. */
	private static final AccountId ANONYMOUS = new AccountId("anybody");

	/**
	 * The retry delay that is recommended while there is no configuration. Short, because
	 * the first configuration is sent repeatedly until it is accepted.
	 */
	private static final long UNCONFIGURED_RETRY_MILLIS = 500;

	private final FleetScheduler scheduler;

	private final FleetState state;

	private final JobAdmission admission;

	private final long nowMillis;

	private final EvacuationDecider evacuations;

	private final JobRefusals refusals;

	/** The memory of the jobs that this turn accepts, in bytes. */
	private final Map<AccountId, Long> acceptedBytes = new HashMap<>();

	/** The cancellations of unknown jobs that this turn records. */
	private final Map<AccountId, Integer> cancellations = new HashMap<>();

	CallDecider(FleetScheduler scheduler, FleetState state, JobAdmission admission, EvacuationDecider evacuations,
			long nowMillis) {
		this.scheduler = scheduler;
		this.state = state;
		this.admission = admission;
		this.evacuations = evacuations;
		this.refusals = scheduler.jobRefusals();
		this.nowMillis = nowMillis;
	}

	CallDecision decide(FleetCall call, GrantedTime arrived) {
		return switch (call) {
			case FleetCall.SubmitJob submit -> decideInQueue(submit.origin(), (path) -> submit(path, submit, arrived));
			case FleetCall.AskState ask -> decideInQueue(ask.origin(), this::queryState);
			case FleetCall.CancelJob cancel -> decideInQueue(cancel.origin(), (path) -> cancel(path, arrived));
			case FleetCall.Heartbeat heartbeat -> heartbeat(heartbeat.report(), arrived);
			case FleetCall.Leave leave -> {
				this.scheduler.markWorkerLeft(leave.worker());
				yield CallDecision.of(new FleetReply.Stored());
			}
			case FleetCall.ChangeConfiguration change -> changeConfiguration(change);
			case FleetCall.ReadConfiguration read -> CallDecision.of(readConfiguration());
			case FleetCall.EvacuateZone evacuate -> this.evacuations.decide(evacuate, arrived);
			case FleetCall.WithdrawEvacuation withdraw -> this.evacuations.decide(withdraw, arrived);
			case FleetCall.Probe probe -> CallDecision
				.of(new FleetReply.Reached(this.state.configuration().map((known) -> known.configuration().limits())));
		};
	}

	private CallDecision decideInQueue(FleetCall.Origin origin, Function<JobPath, CallDecision> action) {
		Optional<ConfigurationIndex> configuration = this.state.configuration();
		if (configuration.isEmpty()) {
			return CallDecision.of(unconfigured("Come back once an operator has sent one."));
		}
		Optional<Queue> queue = configuration.get().route(origin.host(), origin.path());
		if (queue.isEmpty()) {
			return CallDecision.of(new FleetReply.NoSuchQueue());
		}
		Optional<AccountId> account = queue.get().open() ? Optional.of(ANONYMOUS)
				: configuration.get().accountOfKey(origin.key()).map(FleetAccount::account);
		if (account.isEmpty()) {
			return CallDecision.of(new FleetReply.UnknownKey());
		}
		String name = origin.path().substring(queue.get().pathPrefix().length());
		return action.apply(new JobPath(queue.get(), account.get(), name));
	}

	private CallDecision submit(JobPath path, FleetCall.SubmitJob submit, GrantedTime arrived) {
		if (!path.hasJobId()) {
			return CallDecision.of(new FleetReply.Invalid(new Problem(ProblemKind.INVALID,
					"'" + path.name() + "' names no job.", "Use 16 hexadecimal digits.")));
		}
		if (this.state.cancellations().contains(path.cancellation())) {
			return CallDecision.of(refuseCancelled(path));
		}
		if (this.state.job(path.jobId()).isPresent()) {
			return CallDecision.of(new FleetReply.Stored());
		}
		long bytes = JobFootprint.bytes(submit.plan());
		if (!this.admission.admits(this.state, this.acceptedBytes, path.account(), bytes)) {
			return CallDecision.of(noMemory(path, bytes, arrived));
		}
		this.acceptedBytes.merge(path.account(), bytes, Long::sum);
		return CallDecision.afterCommit(new FleetCommand.AcceptJob(path.jobId(), path.queue().name(), path.account(),
				submit.plan(), this.nowMillis), () -> submitted(path));
	}

	// The job may have been cancelled in the same turn before it was accepted.
	private FleetReply submitted(JobPath path) {
		return this.state.cancellations().contains(path.cancellation()) ? refuseCancelled(path)
				: new FleetReply.Stored();
	}

	private FleetReply refuseCancelled(JobPath path) {
		this.refusals.refuseCancelledJob(path.cancellation());
		return new FleetReply.JobCancelled();
	}

	private FleetReply noMemory(JobPath path, long bytes, GrantedTime arrived) {
		long retryMillis = this.refusals.refuseJob(path.jobId(), path.account(), bytes, this.admission.maxBytes(),
				arrived);
		return new FleetReply.Refused(
				new Problem(ProblemKind.OVERLOADED, "The jobs of the client account take too much memory.",
						"Come back once some of them have ended, or cancel those that are not needed."),
				retryMillis);
	}

	private CallDecision queryState(JobPath path) {
		if (path.name().isEmpty()) {
			return CallDecision.of(new FleetReply.Waiting(pendingJobs(path.queue())));
		}
		if (!path.hasJobId()) {
			return CallDecision.of(new FleetReply.NoSuchJob());
		}
		Optional<JobState> job = this.state.job(path.jobId());
		return CallDecision.of(job.<FleetReply>map((known) -> new FleetReply.Phase(known.phase()))
			.orElseGet(FleetReply.NoSuchJob::new));
	}

	private int pendingJobs(Queue queue) {
		return (int) this.state.unfinishedJobs()
			.stream()
			.filter((job) -> job.queue().equals(queue.name()) && job.phase() == JobPhase.PENDING)
			.count();
	}

	private CallDecision cancel(JobPath path, GrantedTime arrived) {
		if (!path.hasJobId()) {
			return CallDecision.of(new FleetReply.NoSuchJob());
		}
		Optional<JobState> job = this.state.job(path.jobId());
		if (job.isEmpty()) {
			return cancelUnknown(path, arrived);
		}
		if (job.get().phase().ended()) {
			return CallDecision.of(new FleetReply.Stored());
		}
		return CallDecision.afterCommit(new FleetCommand.CancelJob(path.jobId()), new FleetReply.Stored());
	}

	// The call that submits the job may still be on its way, so the cancellation is
	// recorded before it is acknowledged.
	private CallDecision cancelUnknown(JobPath path, GrantedTime arrived) {
		Cancellation cancellation = path.cancellation();
		if (this.state.cancellations().contains(cancellation)) {
			return CallDecision.of(new FleetReply.NoSuchJob());
		}
		int undecided = this.cancellations.getOrDefault(path.account(), 0);
		if (!this.admission.admitsCancellation(this.state, undecided, path.account())) {
			return CallDecision.of(noRoomToCancel(cancellation, arrived));
		}
		this.cancellations.merge(path.account(), 1, Integer::sum);
		return CallDecision.afterCommit(new FleetCommand.CancelUnknownJob(cancellation),
				() -> this.state.jobOf(cancellation).isPresent() ? new FleetReply.Stored()
						: new FleetReply.NoSuchJob());
	}

	private FleetReply noRoomToCancel(Cancellation cancellation, GrantedTime arrived) {
		long retryMillis = this.refusals.refuseCancellation(cancellation,
				this.admission.maxCancellationBytes(this.state), arrived);
		return new FleetReply.Refused(new Problem(ProblemKind.OVERLOADED,
				"The client account has cancelled too many unknown jobs, so this cancellation is not recorded.",
				"Come back once some of them are forgotten."), retryMillis);
	}

	private CallDecision heartbeat(WorkerReport report, GrantedTime arrived) {
		Optional<Problem> problem = ReportCheck.problem(report, this.nowMillis);
		if (problem.isPresent()) {
			return CallDecision.of(new FleetReply.Invalid(problem.get()));
		}
		List<FleetCommand> commands = this.scheduler.receiveReport(report, arrived).orElse(List.of());
		return new CallDecision(commands, () -> new FleetReply.Orders(this.scheduler.respond(report)));
	}

	private CallDecision changeConfiguration(FleetCall.ChangeConfiguration change) {
		Optional<Problem> problem = ConfigurationValidator.validate(change.configuration());
		if (problem.isPresent()) {
			return CallDecision.of(new FleetReply.Invalid(problem.get()));
		}
		if (change.configuration().version() <= this.state.version()) {
			return CallDecision.of(new FleetReply.Stored());
		}
		return CallDecision.afterCommit(new FleetCommand.AdoptConfiguration(change.configuration(), change.document()),
				new FleetReply.Stored());
	}

	private FleetReply readConfiguration() {
		return this.state.configuration()
			.<FleetReply>map((known) -> new FleetReply.Configuration(this.state.document()))
			.orElseGet(() -> unconfigured("Send one."));
	}

	private static FleetReply unconfigured(String remedy) {
		return new FleetReply.Refused(new Problem(ProblemKind.UNAVAILABLE, "There is no configuration yet.", remedy),
				UNCONFIGURED_RETRY_MILLIS);
	}

	/**
	 * The parts of the path of a call.
	 *
	 * @param queue the queue that matches the host and path
	 * @param account the client account of the caller
	 * @param name the rest of the path after the prefix of the queue: a job id, or empty
	 */
	private record JobPath(Queue queue, AccountId account, String name) {

		boolean hasJobId() {
			return JOB_ID.matcher(this.name).matches();
		}

		JobId jobId() {
			return new JobId(this.name);
		}

		Cancellation cancellation() {
			return new Cancellation(this.account, jobId());
		}

	}

}
