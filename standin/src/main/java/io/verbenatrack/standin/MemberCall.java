package io.verbenatrack.standin;

/**
 * An action that an instance asks of a worker, as docs/API.md writes it.
 *
 * @param job the job
 * @param token the lease
 * @param action one of prepare, start, checkpoint and stop
 * @param firstAccelerator the first accelerator of the member
 * @param accelerators how many accelerators the member has
 * @param leaseMs how long the lease lasts, in milliseconds
 * @param runTimeMs the declared run time that is left, in milliseconds
 * @param graceMs how long saving may take, in milliseconds
 */
public record MemberCall(String job, long token, String action, int firstAccelerator, int accelerators, long leaseMs,
		long runTimeMs, long graceMs) {

}
