package io.verbenatrack.control.replica;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.protocol.control.LogEntry;

/**
 * The log entries in memory: all entries after a base index that is covered by a
 * snapshot.
 */
final class EntryLog {

	/** The term of an index that is not in memory. */
	static final long UNKNOWN_TERM = -1;

	private final List<LogEntry> entries = new ArrayList<>();

	private long baseIndex;

	private long baseTerm;

	private long truncations;

	EntryLog(long baseIndex, long baseTerm, List<LogEntry> entries) {
		this.baseIndex = baseIndex;
		this.baseTerm = baseTerm;
		this.entries.addAll(entries);
	}

	long baseIndex() {
		return this.baseIndex;
	}

	long lastIndex() {
		return this.baseIndex + this.entries.size();
	}

	long lastTerm() {
		return termAt(lastIndex());
	}

	/**
	 * Returns the number of truncations. It shows whether the entries that a late sync
	 * covers have since been replaced.
	 * @return the number of truncations
	 */
	long truncations() {
		return this.truncations;
	}

	long termAt(long index) {
		if (index == this.baseIndex) {
			return this.baseTerm;
		}
		if (index < this.baseIndex || index > lastIndex()) {
			return UNKNOWN_TERM;
		}
		return entry(index).getTerm();
	}

	LogEntry entry(long index) {
		return this.entries.get((int) (index - this.baseIndex - 1));
	}

	void append(LogEntry entry) {
		if (entry.getIndex() != lastIndex() + 1) {
			throw new IllegalStateException(
					"Entry " + entry.getIndex() + " does not follow entry " + lastIndex() + ". Report this fault.");
		}
		this.entries.add(entry);
	}

	void truncateFrom(long index) {
		this.entries.subList((int) (index - this.baseIndex - 1), this.entries.size()).clear();
		this.truncations++;
	}

	/**
	 * Returns consecutive entries up to a total size, but at least one if there is one.
	 * @param from the first index
	 * @param maximumEntries the maximum number of entries
	 * @param maximumBytes the maximum total size in bytes, unless the first entry alone
	 * is larger
	 * @return the entries
	 */
	List<LogEntry> slice(long from, long maximumEntries, int maximumBytes) {
		List<LogEntry> slice = new ArrayList<>();
		int bytes = 0;
		long to = Math.min(lastIndex(), from + maximumEntries - 1);
		for (long index = from; index <= to; index++) {
			LogEntry entry = entry(index);
			bytes += entry.getSerializedSize();
			if (!slice.isEmpty() && bytes > maximumBytes) {
				break;
			}
			slice.add(entry);
		}
		return slice;
	}

	/**
	 * Returns the last index that need not be retained for slow followers.
	 * @param through the last index that a snapshot covers
	 * @param maximumEntries the maximum number of entries to retain up to this index
	 * @param maximumBytes the maximum total size of these entries, in bytes
	 * @return the index
	 */
	long discardable(long through, long maximumEntries, long maximumBytes) {
		long index = through;
		long bytes = 0;
		while (index > this.baseIndex && through - index < maximumEntries) {
			bytes += entry(index).getSerializedSize();
			if (bytes > maximumBytes) {
				break;
			}
			index--;
		}
		return index;
	}

	List<LogEntry> all() {
		return List.copyOf(this.entries);
	}

	void discardThrough(long index) {
		if (index <= this.baseIndex) {
			return;
		}
		long term = termAt(index);
		this.entries.subList(0, (int) (index - this.baseIndex)).clear();
		this.baseIndex = index;
		this.baseTerm = term;
	}

	void reset(long index, long term) {
		this.entries.clear();
		this.baseIndex = index;
		this.baseTerm = term;
		this.truncations++;
	}

}
