package io.verbenatrack.standin;

/**
 * A report of a worker on a gang member, in the format that docs/API.md specifies.
 *
 * @param job the job
 * @param token the fencing token of the lease
 * @param report the reported event
 * @param progressMs the completed run time, in milliseconds
 * @param checkpointedMs the run time saved in the last checkpoint, in milliseconds
 * @param memoryGib the memory in use, in GiB
 */
public record MemberReportBody(String job, long token, String report, long progressMs, long checkpointedMs,
		int memoryGib) {

	static MemberReportBody of(MemberCall call, String report) {
		return new MemberReportBody(call.job(), call.token(), report, 0, 0, 0);
	}

}
