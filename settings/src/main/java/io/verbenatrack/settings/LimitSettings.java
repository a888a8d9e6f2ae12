package io.verbenatrack.settings;

/**
 * Sizes and counts past which an instance refuses.
 *
 * @param requestBodyBytes the largest body of a request to a service
 * @param answerBodyBytes the largest body of a target's answer
 * @param controlBodyBytes the largest body of any other call, such as declarations
 * @param unfinishedJobs jobs that are accepted and not finished
 * @param unfinishedJobsPerAccount the same for one client account
 * @param rememberedJobs finished jobs whose outcome is kept
 * @param workers announced workers
 * @param targets announced targets
 * @param reportsPerCall reports of a worker in one call
 * @param queuedRequests requests that wait for a target
 * @param queuedRequestsPerAccount the same for one client account
 * @param rememberedAnswers answers kept for resends
 * @param rememberedAnswerBytes the size of all answers kept for resends
 * @param ringCapacity the places of each ring between two threads, a power of two
 * @param connections open connections of callers
 */
public record LimitSettings(int requestBodyBytes, int answerBodyBytes, int controlBodyBytes, int unfinishedJobs,
		int unfinishedJobsPerAccount, int rememberedJobs, int workers, int targets, int reportsPerCall,
		int queuedRequests, int queuedRequestsPerAccount, int rememberedAnswers, int rememberedAnswerBytes,
		int ringCapacity, int connections) {

}
