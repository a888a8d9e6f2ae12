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

import io.verbenatrack.control.Proposal;
import io.verbenatrack.control.replica.CommittedEntry;
import io.verbenatrack.control.replica.RecoveredLog;
import io.verbenatrack.control.replica.ReplicaCore;
import io.verbenatrack.control.replica.ReplicaEffect;
import io.verbenatrack.control.replica.ReplicaEvent;
import io.verbenatrack.control.replica.ReplicaRole;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * Feeds a replica its events and carries out its effects.
 */
final class ProtocolDuty implements DutyThread.Duty {

	private static final int EVENTS_PER_ROUND = 256;

	private static final long RETRY_DISK_NANOS = Duration.ofSeconds(1).toNanos();

	private static final long RING_FULL_NANOS = Duration.ofMillis(1).toNanos();

	private final Function<RecoveredLog, ReplicaCore> starter;

	private final MonotonicClock clock;

	private final ReplicaTransport transport;

	private final ReplicaListener listener;

	private final Promises promises;

	private final Rings rings;

	private final int eventsPerRound;

	private final Deque<ReplicaEffect.Confirmed> confirmed = new ArrayDeque<>();

	private final List<ProtocolTask> round = new ArrayList<>(EVENTS_PER_ROUND);

	private ReplicaCore core;

	private long deliveredIndex;

	private long retryDiskNanos;

	private boolean retryDue;

	private volatile ReplicaStatus status;

	ProtocolDuty(Function<RecoveredLog, ReplicaCore> starter, RecoveredLog recovered, MonotonicClock clock,
			ReplicaTransport transport, ReplicaListener listener, Promises promises, Rings rings, boolean groupCommit) {
		this.starter = starter;
		this.clock = clock;
		this.transport = transport;
		this.listener = listener;
		this.promises = promises;
		this.rings = rings;
		this.eventsPerRound = groupCommit ? EVENTS_PER_ROUND : 1;
		start(recovered);
	}

	private void start(RecoveredLog recovered) {
		this.core = this.starter.apply(recovered);
		this.deliveredIndex = recovered.snapshot().getIndex();
		if (this.deliveredIndex > 0) {
			offer(this.rings.apply(), new ApplyTask.Restore(recovered.snapshot()), this.rings::wakeApply);
		}
		publish();
	}

	ReplicaStatus status() {
		return this.status;
	}

	@Override
	public long work() {
		this.rings.done().drain(this.round::add, this.eventsPerRound);
		this.rings.inbox().drain(this.round::add, this.eventsPerRound);
		long now = this.clock.nanoTime();
		int handled = this.round.size();
		for (ProtocolTask task : this.round) {
			switch (task) {
				case ProtocolTask.Handle handle -> this.core.handle(now, handle.event());
				case ProtocolTask.Reopened reopened -> reopened(reopened.recovered());
			}
		}
		this.round.clear();
		if (handled == 0) {
			this.core.handle(now, new ReplicaEvent.Tick());
		}
		this.core.flush().forEach(this::carry);
		deliver();
		retryDisk(now);
		publish();
		return (handled > 0) ? 0 : Math.max(0, this.core.nextDeadline() - this.clock.nanoTime());
	}

	private void reopened(RecoveredLog recovered) {
		while (deliver()) {
			LockSupport.parkNanos(RING_FULL_NANOS);
		}
		start(recovered);
	}

	private void retryDisk(long now) {
		if (this.core.role() != ReplicaRole.FAULTED) {
			this.retryDue = false;
			return;
		}
		if (!this.retryDue) {
			this.retryDue = true;
			this.retryDiskNanos = now + RETRY_DISK_NANOS;
		}
		else if (now - this.retryDiskNanos >= 0) {
			this.retryDue = false;
			this.rings.disk().offer(new DiskTask.Reopen());
			this.rings.wakeDisk();
		}
	}

	private void carry(ReplicaEffect effect) {
		switch (effect) {
			case ReplicaEffect.Send send -> this.transport.send(send.to(), send.message());
			case ReplicaEffect.Persist persist -> toDisk(persist);
			case ReplicaEffect.Roll roll -> toDisk(roll);
			case ReplicaEffect.ReadChunk read -> toDisk(read);
			case ReplicaEffect.WriteChunk write -> toDisk(write);
			case ReplicaEffect.Restore restore -> {
				this.deliveredIndex = restore.header().getIndex();
				offer(this.rings.apply(), new ApplyTask.Restore(restore.header()), this.rings::wakeApply);
			}
			case ReplicaEffect.NotLeader answer ->
				this.promises.complete(answer.token(), new Proposal.NotLeader(answer.leader()));
			case ReplicaEffect.Refused answer -> this.promises.complete(answer.token(), new Proposal.Refused(
					new Problem(ProblemKind.OVERLOADED, answer.refusal().message(), answer.refusal().remedy())));
			case ReplicaEffect.Unknown answer -> this.promises.complete(answer.token(), new Proposal.Unknown());
			case ReplicaEffect.Confirmed answer -> this.confirmed.add(answer);
			case ReplicaEffect.Note note -> this.listener.noticed(note.notice(), note.detail());
		}
	}

	private void toDisk(ReplicaEffect effect) {
		offer(this.rings.disk(), new DiskTask.Carry(effect), this.rings::wakeDisk);
	}

	// Waits for room: a replica whose disk or state machine is stuck must not go on.
	private <T> void offer(SpscAtomicArrayQueue<T> ring, T task, Runnable wake) {
		while (!ring.offer(task)) {
			wake.run();
			LockSupport.parkNanos(RING_FULL_NANOS);
		}
		wake.run();
	}

	/**
	 * Hands committed entries to the apply thread as long as it has room.
	 * @return whether some are left
	 */
	private boolean deliver() {
		boolean any = false;
		SpscAtomicArrayQueue<ApplyTask> ring = this.rings.apply();
		while (ring.size() < ring.capacity()) {
			Optional<CommittedEntry> committed = this.core.nextCommitted();
			if (committed.isEmpty()) {
				break;
			}
			this.deliveredIndex = committed.get().entry().getIndex();
			ring.offer(new ApplyTask.Apply(committed.get()));
			any = true;
		}
		while (!this.confirmed.isEmpty() && this.confirmed.peek().index() <= this.deliveredIndex
				&& ring.offer(new ApplyTask.Confirm(this.confirmed.peek().token(), this.confirmed.peek().term()))) {
			this.confirmed.poll();
			any = true;
		}
		if (any) {
			this.rings.wakeApply();
		}
		return this.deliveredIndex < this.core.commitIndex() || !this.confirmed.isEmpty();
	}

	private void publish() {
		this.status = new ReplicaStatus(this.core.role(), this.core.term(), this.core.leader(), this.core.cluster(),
				this.core.commitIndex(), this.core.lastIndex(), this.core.termAt(this.core.lastIndex()),
				this.core.membership(), this.core.leads(), this.core.leaseEnd(), this.core.openingIndex());
	}

}
