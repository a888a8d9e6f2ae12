package io.verbenatrack.control.driver;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;

import org.jctools.queues.atomic.SpscAtomicArrayQueue;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.replica.CommittedEntry;
import io.verbenatrack.control.replica.RecoveredLog;
import io.verbenatrack.control.replica.Refusal;
import io.verbenatrack.control.replica.ReplicaCore;
import io.verbenatrack.control.replica.ReplicaEffect;
import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.replica.ReplicaRole;
import io.verbenatrack.model.ClockReading;
import io.verbenatrack.model.HeldTime;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * Passes events to the replica core and executes its effects.
 */
final class ProtocolDuty implements DutyThread.Duty {

	private static final int EVENTS_PER_BATCH = 256;

	private static final Duration DISK_RETRY_INTERVAL = Duration.ofSeconds(1);

	private static final long QUEUE_FULL_RETRY_NANOS = Duration.ofMillis(1).toNanos();

	private final Function<RecoveredLog, ReplicaCore> coreFactory;

	private final LeaseClock clock;

	private final ReplicaTransport transport;

	private final ReplicaListener listener;

	private final PendingRequests pendingRequests;

	private final ReplicaQueues queues;

	private final int eventsPerBatch;

	private final Deque<ReplicaEffect.Confirmed> pendingConfirmations = new ArrayDeque<>();

	private final List<ProtocolTask> batch = new ArrayList<>(EVENTS_PER_BATCH);

	private ReplicaCore core;

	private long deliveredIndex;

	private HeldTime diskRetry;

	private boolean diskRetryScheduled;

	private volatile ReplicaStatus status;

	ProtocolDuty(Function<RecoveredLog, ReplicaCore> coreFactory, RecoveredLog recovered, LeaseClock clock,
			ReplicaTransport transport, ReplicaListener listener, PendingRequests pendingRequests, ReplicaQueues queues,
			boolean groupCommit) {
		this.coreFactory = coreFactory;
		this.clock = clock;
		this.transport = transport;
		this.listener = listener;
		this.pendingRequests = pendingRequests;
		this.queues = queues;
		this.eventsPerBatch = groupCommit ? EVENTS_PER_BATCH : 1;
		startCore(recovered);
	}

	private void startCore(RecoveredLog recovered) {
		this.core = this.coreFactory.apply(recovered);
		this.deliveredIndex = recovered.snapshot().getIndex();
		if (this.deliveredIndex > 0) {
			offer(this.queues.apply(), new ApplyTask.Restore(recovered.snapshot()), this.queues::wakeApply);
		}
		publishStatus();
	}

	ReplicaStatus status() {
		return this.status;
	}

	@Override
	public long runOnce() {
		this.queues.completions().drain(this.batch::add, this.eventsPerBatch);
		this.queues.drainInbox(this.batch::add, this.eventsPerBatch);
		ClockReading now = this.clock.read();
		int handled = this.batch.size();
		for (ProtocolTask task : this.batch) {
			switch (task) {
				case ProtocolTask.Handle handle -> this.core.handle(now, handle.event());
				case ProtocolTask.Reopened reopened -> restart(reopened.recovered());
			}
		}
		this.batch.clear();
		if (handled == 0) {
			this.core.handle(now, new ReplicaEvent.Tick());
		}
		this.core.flush().forEach(this::execute);
		deliverCommitted();
		retryFailedDisk(now.held());
		publishStatus();
		return (handled > 0) ? 0 : Math.max(0, this.core.nextTickNanos());
	}

	private void restart(RecoveredLog recovered) {
		while (deliverCommitted()) {
			LockSupport.parkNanos(QUEUE_FULL_RETRY_NANOS);
		}
		startCore(recovered);
	}

	private void retryFailedDisk(HeldTime now) {
		if (this.core.role() != ReplicaRole.FAULTED) {
			this.diskRetryScheduled = false;
			return;
		}
		if (!this.diskRetryScheduled) {
			this.diskRetryScheduled = true;
			this.diskRetry = now.plus(DISK_RETRY_INTERVAL);
		}
		else if (!now.isBefore(this.diskRetry)) {
			this.diskRetryScheduled = false;
			this.queues.disk().offer(new DiskTask.Reopen());
			this.queues.wakeDisk();
		}
	}

	private void execute(ReplicaEffect effect) {
		switch (effect) {
			case ReplicaEffect.Send send -> this.transport.send(send.to(), send.message());
			case ReplicaEffect.Persist persist -> submitToDisk(persist);
			case ReplicaEffect.Roll roll -> submitToDisk(roll);
			case ReplicaEffect.ReadChunk read -> submitToDisk(read);
			case ReplicaEffect.WriteChunk write -> submitToDisk(write);
			case ReplicaEffect.Restore restore -> {
				this.deliveredIndex = restore.header().getIndex();
				offer(this.queues.apply(), new ApplyTask.Restore(restore.header()), this.queues::wakeApply);
			}
			case ReplicaEffect.NotLeader answer ->
				this.pendingRequests.complete(answer.token(), new ProposalOutcome.NotLeader(answer.leader()));
			case ReplicaEffect.Refused answer ->
				this.pendingRequests.complete(answer.token(), new ProposalOutcome.Refused(
						new Problem(kind(answer.refusal()), answer.refusal().message(), answer.refusal().remedy())));
			case ReplicaEffect.Unknown answer ->
				this.pendingRequests.complete(answer.token(), new ProposalOutcome.Unknown());
			case ReplicaEffect.Confirmed answer -> this.pendingConfirmations.add(answer);
			case ReplicaEffect.Notify note -> this.listener.onNotice(note.notice(), note.detail());
		}
	}

	private static ProblemKind kind(Refusal refusal) {
		return (refusal == Refusal.COMMAND_TOO_LARGE) ? ProblemKind.TOO_LARGE : ProblemKind.OVERLOADED;
	}

	private void submitToDisk(ReplicaEffect effect) {
		offer(this.queues.disk(), new DiskTask.Execute(effect), this.queues::wakeDisk);
	}

	// Blocks while the queue is full, because a replica must not proceed while its disk
	// or state machine is stuck.
	private <T> void offer(SpscAtomicArrayQueue<T> queue, T task, Runnable wake) {
		while (!queue.offer(task)) {
			wake.run();
			LockSupport.parkNanos(QUEUE_FULL_RETRY_NANOS);
		}
		wake.run();
	}

	/**
	 * Passes committed entries and confirmations to the apply thread while its queue has
	 * room.
	 * @return whether committed entries or confirmations are left
	 */
	private boolean deliverCommitted() {
		boolean delivered = false;
		SpscAtomicArrayQueue<ApplyTask> queue = this.queues.apply();
		while (queue.size() < queue.capacity()) {
			Optional<CommittedEntry> committed = this.core.nextCommitted();
			if (committed.isEmpty()) {
				break;
			}
			this.deliveredIndex = committed.get().entry().getIndex();
			queue.offer(new ApplyTask.Apply(committed.get()));
			delivered = true;
		}
		while (!this.pendingConfirmations.isEmpty() && this.pendingConfirmations.peek().index() <= this.deliveredIndex
				&& queue.offer(new ApplyTask.Confirm(this.pendingConfirmations.peek().token(),
						this.pendingConfirmations.peek().term()))) {
			this.pendingConfirmations.poll();
			delivered = true;
		}
		if (delivered) {
			this.queues.wakeApply();
		}
		return this.deliveredIndex < this.core.commitIndex() || !this.pendingConfirmations.isEmpty();
	}

	private void publishStatus() {
		this.status = new ReplicaStatus(this.core.role(), this.core.term(), this.core.leader(), this.core.cluster(),
				this.core.commitIndex(), this.core.lastIndex(), this.core.termAt(this.core.lastIndex()),
				this.core.membership(), this.core.leads(), this.core.leaseEnd(), this.core.termStartIndex());
	}

}
