package io.verbenatrack.standin;

/**
 * A report of a worker, as docs/API.md writes it.
 *
 * @param job the job
 * @param token the lease
 * @param report what happened
 * @param progressMs run time completed, in milliseconds
 * @param checkpointedMs run time saved, in milliseconds
 * @param memoryGib memory in use, in GiB
 */
public record MemberReportBody(String job, long token, String report, long progressMs, long checkpointedMs,
		int memoryGib) {

	static MemberReportBody of(MemberCall call, String report) {
		return new MemberReportBody(call.job(), call.token(), report, 0, 0, 0);
	}

}
