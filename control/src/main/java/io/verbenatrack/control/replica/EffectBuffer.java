package io.verbenatrack.control.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.verbenatrack.protocol.control.LogRecord;

/**
 * Gathers effects and holds back what must not happen before a sync.
 */
final class EffectBuffer {

	private final Deque<DeferredAction> deferredActions = new ArrayDeque<>();

	private List<ReplicaEffect> effects = new ArrayList<>();

	private List<LogRecord> records = new ArrayList<>();

	private long ticket;

	private long syncedTicket;

	void add(ReplicaEffect effect) {
		this.effects.add(effect);
	}

	void addRecord(LogRecord record) {
		this.records.add(record);
	}

	/**
	 * Does something once every record written so far is on disk, at once when it is.
	 * @param action what to do
	 */
	void runWhenDurable(Runnable action) {
		long needed = this.records.isEmpty() ? this.ticket : this.ticket + 1;
		if (needed <= this.syncedTicket) {
			action.run();
			return;
		}
		this.deferredActions.add(new DeferredAction(needed, action));
	}

	/**
	 * Replaces the log file. What was written before counts once the new file is synced.
	 * @param newRecords the records of the new file
	 */
	void rollLog(List<LogRecord> newRecords) {
		this.records.clear();
		this.ticket++;
		this.effects.add(new ReplicaEffect.Roll(this.ticket, newRecords));
	}

	void synced(long ticket) {
		this.syncedTicket = Math.max(this.syncedTicket, ticket);
		while (!this.deferredActions.isEmpty() && this.deferredActions.peek().ticket() <= this.syncedTicket) {
			this.deferredActions.poll().action().run();
		}
	}

	List<ReplicaEffect> drain() {
		if (!this.records.isEmpty()) {
			this.ticket++;
			this.effects.add(new ReplicaEffect.Persist(this.ticket, this.records));
			this.records = new ArrayList<>();
		}
		List<ReplicaEffect> drained = this.effects;
		this.effects = new ArrayList<>();
		return drained;
	}

	private record DeferredAction(long ticket, Runnable action) {

	}

}
