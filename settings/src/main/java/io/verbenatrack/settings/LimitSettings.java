package io.verbenatrack.settings;

/**
 * Size and count limits of an instance. Calls beyond a limit are refused, except that the
 * oldest finished jobs are dropped.
 *
 * @param requestBodyBytes the maximum body size of a request to a service, in bytes
 * @param answerBodyBytes the maximum body size of a response of a target, in bytes
 * @param controlBodyBytes the maximum body size of any other call, such as declarations,
 * in bytes
 * @param unfinishedJobs the maximum number of jobs that are accepted and not finished
 * @param unfinishedJobsPerAccount the same for one client account
 * @param rememberedJobs the maximum number of finished jobs whose outcome is retained;
 * the oldest are dropped
 * @param workers the maximum number of announced workers
 * @param targets the maximum number of announced targets
 * @param reportsPerCall the maximum number of reports of a worker in one call
 * @param queuedRequests the maximum number of requests that wait for a target
 * @param queuedRequestsPerAccount the same for one client account
 * @param rememberedAnswers the maximum number of claims of request ids, whether their
 * request is running or their answer is retained for retries
 * @param rememberedAnswerBytes the total size of the answers retained for retries from
 * which new claims are refused, in bytes
 * @param ringCapacity the capacity of each ring buffer between two threads, a power of
 * two
 * @param connections the maximum number of open client connections
 */
public record LimitSettings(int requestBodyBytes, int answerBodyBytes, int controlBodyBytes, int unfinishedJobs,
		int unfinishedJobsPerAccount, int rememberedJobs, int workers, int targets, int reportsPerCall,
		int queuedRequests, int queuedRequestsPerAccount, int rememberedAnswers, int rememberedAnswerBytes,
		int ringCapacity, int connections) {

}
