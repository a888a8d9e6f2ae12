package io.verbenatrack.standin;

/**
 * An action that an instance requests from a worker, in the format that docs/API.md
 * specifies.
 *
 * @param job the job
 * @param token the fencing token of the lease
 * @param action one of prepare, start, checkpoint and stop
 * @param firstAccelerator the index of the first accelerator of the gang member
 * @param accelerators the number of accelerators of the gang member
 * @param leaseMs the duration of the lease, in milliseconds
 * @param runTimeMs the remaining declared run time, in milliseconds
 * @param graceMs how long a checkpoint may take, in milliseconds
 */
public record MemberCall(String job, long token, String action, int firstAccelerator, int accelerators, long leaseMs,
		long runTimeMs, long graceMs) {

}
