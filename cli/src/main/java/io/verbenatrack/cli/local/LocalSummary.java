package io.verbenatrack.cli.local;

import java.util.List;
import java.util.Locale;

/**
 * The figures of a local run.
 *
 * @param jobs jobs submitted
 * @param jobsFinished jobs that finished
 * @param jobsRefused jobs that were permanently refused
 * @param jobsWithoutOutcome jobs that have no outcome
 * @param requests requests sent
 * @param requestsAnswered requests that were answered
 * @param requestsNotRun requests that were refused and never ran
 * @param requestsUnknown requests whose outcome is not known
 * @param requestsRunTwice requests not marked idempotent that ran more than once
 * @param gangsStarted the number of gang member starts on the workers
 * @param gangsReclaimed the number of gangs stopped to reclaim their accelerators
 * @param completion the completion times of finished jobs
 * @param fragmentation the fraction of free accelerators that the largest waiting
 * guaranteed shape could not use, sampled during the run
 * @param readyMillis the time from the start until the instance was ready, in
 * milliseconds
 * @param elapsedMillis the duration of the whole run, in milliseconds
 */
public record LocalSummary(int jobs, int jobsFinished, int jobsRefused, int jobsWithoutOutcome, int requests,
		int requestsAnswered, int requestsNotRun, int requestsUnknown, int requestsRunTwice, int gangsStarted,
		int gangsReclaimed, CompletionTime completion, List<FragmentationSample> fragmentation, long readyMillis,
		long elapsedMillis) {

	/**
	 * Returns whether every job and request has exactly one outcome.
	 * @return whether no outcome is missing or unknown and no request ran twice
	 */
	public boolean complete() {
		return this.jobsWithoutOutcome == 0 && this.requestsUnknown == 0 && this.requestsRunTwice == 0
				&& this.requestsAnswered + this.requestsNotRun == this.requests;
	}

	/**
	 * Formats the figures as text.
	 * @return several lines of text
	 */
	public String toText() {
		double mean = this.fragmentation.stream().mapToDouble(FragmentationSample::share).average().orElse(0);
		double worst = this.fragmentation.stream().mapToDouble(FragmentationSample::share).max().orElse(0);
		return String.format(Locale.ROOT, """
				jobs            %d submitted, %d finished, %d refused, %d without outcome
				requests        %d sent, %d answered, %d not run, %d unknown, %d ran twice
				completion      p50 %.1f, p95 %.1f, max %.1f virtual minutes
				fragmentation   mean %.2f, worst %.2f over %d samples
				gangs           %d started, %d reclaimed
				time            ready after %d ms, whole run %d ms
				""", this.jobs, this.jobsFinished, this.jobsRefused, this.jobsWithoutOutcome, this.requests,
				this.requestsAnswered, this.requestsNotRun, this.requestsUnknown, this.requestsRunTwice,
				this.completion.p50(), this.completion.p95(), this.completion.max(), mean, worst,
				this.fragmentation.size(), this.gangsStarted, this.gangsReclaimed, this.readyMillis,
				this.elapsedMillis);
	}

	/**
	 * Completion times in virtual minutes, from submission to outcome.
	 *
	 * @param p50 the median
	 * @param p95 the 95th percentile
	 * @param max the longest
	 */
	public record CompletionTime(double p50, double p95, double max) {

	}

	/**
	 * One sample of fragmentation.
	 *
	 * @param minute the virtual time since the start of the work, in minutes
	 * @param share the fragmentation, from 0 to 1
	 */
	public record FragmentationSample(long minute, double share) {

	}

}
