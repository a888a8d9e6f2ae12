package io.verbenatrack.control.driver;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.jctools.queues.atomic.SpscAtomicArrayQueue;

import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.replica.ReplicaEvent;

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

	private final long maximumInboxBytes;

	/** The size of the messages and commands in the inbox, in bytes. */
	private final AtomicLong inboxBytes = new AtomicLong();

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

	ReplicaQueues(ReplicaLimits limits) {
		this.inbox = new MpscAtomicArrayQueue<>(limits.pendingEvents());
		this.maximumInboxBytes = limits.pendingMessageBytes();
	}

	void setWakers(Runnable protocol, Runnable diskThread, Runnable applyThread) {
		this.protocolWaker = protocol;
		this.diskWaker = diskThread;
		this.applyWaker = applyThread;
	}

	/**
	 * Removes tasks that came from outside the replica's threads.
	 * @param receiver receives each task
	 * @param maximumTasks the maximum number of tasks to remove
	 */
	void drainInbox(Consumer<ProtocolTask> receiver, int maximumTasks) {
		this.inbox.drain((task) -> {
			this.inboxBytes.addAndGet(-payloadBytes(task));
			receiver.accept(task);
		}, maximumTasks);
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
	 * Adds a task from outside the replica's threads. A queue without other messages has
	 * room for a message of any size.
	 * @param task the task to add
	 * @return whether the queue had room
	 */
	boolean post(ProtocolTask task) {
		long payloadBytes = payloadBytes(task);
		long queuedBytes = this.inboxBytes.addAndGet(payloadBytes);
		boolean fits = queuedBytes <= this.maximumInboxBytes || queuedBytes == payloadBytes;
		boolean added = fits && this.inbox.offer(task);
		if (!added) {
			this.inboxBytes.addAndGet(-payloadBytes);
		}
		this.protocolWaker.run();
		return added;
	}

	private static long payloadBytes(ProtocolTask task) {
		return switch (task) {
			case ProtocolTask.Handle(ReplicaEvent.Received received) -> received.message().getSerializedSize();
			case ProtocolTask.Handle(ReplicaEvent.Proposed proposed) -> proposed.command().size();
			case ProtocolTask.Handle other -> 0;
			case ProtocolTask.Reopened reopened -> 0;
		};
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
