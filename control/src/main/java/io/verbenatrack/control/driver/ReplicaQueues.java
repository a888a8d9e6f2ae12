package io.verbenatrack.control.driver;

import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.jctools.queues.atomic.SpscAtomicArrayQueue;

/**
 * The bounded rings that join a replica's threads.
 *
 * <p>
 * They are the variants of JCTools without unsafe memory access, so that an application
 * that embeds the library needs no flags for its JVM.
 */
final class ReplicaQueues {

	private static final int DISK_TASKS = 1024;

	private static final int APPLY_TASKS = 4096;

	private final MpscAtomicArrayQueue<ProtocolTask> inbox;

	/** Has room for an answer to each task of the disk and apply rings. */
	private final MpscAtomicArrayQueue<ProtocolTask> completions = new MpscAtomicArrayQueue<>(
			2 * (DISK_TASKS + APPLY_TASKS));

	private final SpscAtomicArrayQueue<DiskTask> disk = new SpscAtomicArrayQueue<>(DISK_TASKS);

	private final SpscAtomicArrayQueue<ApplyTask> apply = new SpscAtomicArrayQueue<>(APPLY_TASKS);

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
	 * Hands in an event from outside.
	 * @param task the event
	 * @return whether there was room
	 */
	boolean post(ProtocolTask task) {
		boolean room = this.inbox.offer(task);
		this.protocolWaker.run();
		return room;
	}

	/**
	 * Hands in what the disk or apply thread has done.
	 * @param task what was done
	 */
	void complete(ProtocolTask task) {
		if (!this.completions.offer(task)) {
			throw new IllegalStateException("The ring of finished tasks is full. Report this fault.");
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
