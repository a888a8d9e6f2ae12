package io.verbenatrack.bench.control;

import java.util.List;

/**
 * What a schedule found.
 *
 * @param seed its seed
 * @param violations what did not hold, empty when all did
 * @param configurationOperations how many operations on the configuration were checked
 * @param claimOperations how many operations on claims were checked
 * @param openVerdicts how many histories were too hard to check
 * @param resumes how often a follower went on under another leader
 * @param wrongPlainResumes how often its last index was not in the leader's history
 * @param unknownResumes how often the leader could not tell
 * @param terms how many terms had a leader
 * @param committedEntries how many entries were committed
 * @param inForceMillis how long each accepted change took to be in force on all instances
 * that admitted work
 */
record ScheduleResult(long seed, List<String> violations, int configurationOperations, int claimOperations,
		int openVerdicts, long resumes, long wrongPlainResumes, long unknownResumes, long terms, long committedEntries,
		List<Long> inForceMillis) {

}
