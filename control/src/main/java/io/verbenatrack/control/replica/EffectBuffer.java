package io.verbenatrack.control.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.verbenatrack.protocol.control.LogRecord;

/**
 * Collects effects and defers actions until the records they depend on are durable.
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
	 * Runs an action once every record added so far is durable, immediately if that is
	 * the case already.
	 * @param action the action
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
	 * Replaces the log file. Records added before count as durable once the new file is
	 * synced.
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
