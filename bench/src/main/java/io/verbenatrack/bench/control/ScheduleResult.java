package io.verbenatrack.bench.control;

import java.util.List;

/**
 * Result of one schedule.
 *
 * @param seed the seed of the schedule
 * @param violations the violations, empty if there were none
 * @param configurationOperations the number of configuration operations checked
 * @param claimOperations the number of claim operations checked
 * @param openVerdicts the number of histories whose linearizability check was
 * inconclusive
 * @param resumes how often a follower resumed under a new leader
 * @param wrongUncheckedResumes how often the follower's last entry was not in the
 * leader's log
 * @param unknownResumes how often the leader had already compacted that entry
 * @param terms the number of terms with a leader
 * @param committedEntries the number of committed entries
 * @param inForceMillis the time from acceptance of each change until it was in force on
 * all instances that admitted work, in milliseconds
 */
record ScheduleResult(long seed, List<String> violations, int configurationOperations, int claimOperations,
		int openVerdicts, long resumes, long wrongUncheckedResumes, long unknownResumes, long terms,
		long committedEntries, List<Long> inForceMillis) {

}
