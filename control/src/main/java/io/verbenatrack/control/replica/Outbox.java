package io.verbenatrack.control.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.verbenatrack.protocol.control.LogRecord;

/**
 * Gathers effects and holds back what must not happen before a sync.
 */
final class Outbox {

	private final Deque<Waiting> waiting = new ArrayDeque<>();

	private List<ReplicaEffect> effects = new ArrayList<>();

	private List<LogRecord> records = new ArrayList<>();

	private long ticket;

	private long syncedTicket;

	void add(ReplicaEffect effect) {
		this.effects.add(effect);
	}

	void write(LogRecord record) {
		this.records.add(record);
	}

	/**
	 * Does something once every record written so far is on disk, at once when it is.
	 * @param action what to do
	 */
	void whenDurable(Runnable action) {
		long needed = this.records.isEmpty() ? this.ticket : this.ticket + 1;
		if (needed <= this.syncedTicket) {
			action.run();
			return;
		}
		this.waiting.add(new Waiting(needed, action));
	}

	/**
	 * Replaces the log file. What was written before counts once the new file is synced.
	 * @param all the records of the new file
	 */
	void roll(List<LogRecord> all) {
		this.records.clear();
		this.ticket++;
		this.effects.add(new ReplicaEffect.Roll(this.ticket, all));
	}

	void synced(long ticket) {
		this.syncedTicket = Math.max(this.syncedTicket, ticket);
		while (!this.waiting.isEmpty() && this.waiting.peek().ticket() <= this.syncedTicket) {
			this.waiting.poll().action().run();
		}
	}

	List<ReplicaEffect> take() {
		if (!this.records.isEmpty()) {
			this.ticket++;
			this.effects.add(new ReplicaEffect.Persist(this.ticket, this.records));
			this.records = new ArrayList<>();
		}
		List<ReplicaEffect> taken = this.effects;
		this.effects = new ArrayList<>();
		return taken;
	}

	private record Waiting(long ticket, Runnable action) {

	}

}
