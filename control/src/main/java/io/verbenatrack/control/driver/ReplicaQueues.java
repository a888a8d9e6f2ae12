package io.verbenatrack.control.driver;

import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.jctools.queues.atomic.SpscAtomicArrayQueue;

/**
 * The bounded queues between the threads of a replica.
 *
 * <p>
 * These are the JCTools variants without unsafe memory access, so that an application
 * that embeds the library needs no JVM flags.
 */
final class ReplicaQueues {

	private static final int DISK_QUEUE_CAPACITY = 1024;

	private static final int APPLY_QUEUE_CAPACITY = 4096;

	private final MpscAtomicArrayQueue<ProtocolTask> inbox;

	/** Large enough for the results of all tasks in the disk and apply queues. */
	private final MpscAtomicArrayQueue<ProtocolTask> completions = new MpscAtomicArrayQueue<>(
			2 * (DISK_QUEUE_CAPACITY + APPLY_QUEUE_CAPACITY));

	private final SpscAtomicArrayQueue<DiskTask> disk = new SpscAtomicArrayQueue<>(DISK_QUEUE_CAPACITY);

	private final SpscAtomicArrayQueue<ApplyTask> apply = new SpscAtomicArrayQueue<>(APPLY_QUEUE_CAPACITY);

	private volatile Runnable protocolWaker = () -> {
	};

	private volatile Runnable diskWaker = () -> {
	};

	private volatile Runnable applyWaker = () -> {
	};

	ReplicaQueues(int pendingEvents) {
		this.inbox = new MpscAtomicArrayQueue<>(pendingEvents);
	}

	void setWakers(Runnable protocol, Runnable diskThread, Runnable applyThread) {
		this.protocolWaker = protocol;
		this.diskWaker = diskThread;
		this.applyWaker = applyThread;
	}

	MpscAtomicArrayQueue<ProtocolTask> inbox() {
		return this.inbox;
	}

	MpscAtomicArrayQueue<ProtocolTask> completions() {
		return this.completions;
	}

	SpscAtomicArrayQueue<DiskTask> disk() {
		return this.disk;
	}

	SpscAtomicArrayQueue<ApplyTask> apply() {
		return this.apply;
	}

	/**
	 * Adds a task from outside the replica's threads.
	 * @param task the task to add
	 * @return whether the queue had room
	 */
	boolean post(ProtocolTask task) {
		boolean room = this.inbox.offer(task);
		this.protocolWaker.run();
		return room;
	}

	/**
	 * Adds a result of the disk or apply thread.
	 * @param task the task that reports the result
	 */
	void complete(ProtocolTask task) {
		if (!this.completions.offer(task)) {
			throw new IllegalStateException("The completion queue of the replica is full. Report this fault.");
		}
		this.protocolWaker.run();
	}

	void wakeDisk() {
		this.diskWaker.run();
	}

	void wakeApply() {
		this.applyWaker.run();
	}

}
