package io.verbenatrack.telemetry;

import java.io.PrintStream;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes events as JSON lines to a stream, on a dedicated thread.
 *
 * <p>
 * The volume is bounded and callers never block. Lines that exceed the rate limit, or
 * that arrive while the queue is full, are dropped; the number of dropped lines is
 * logged.
 */
public final class StreamEventLog implements EventLog, AutoCloseable {

	/** The maximum number of lines queued for the stream. */
	private static final int QUEUED_LINES = 2048;

	private static final long SECOND_MILLIS = 1000;

	/** How long {@link #close()} waits for queued lines to be written. */
	private static final long CLOSE_MILLIS = 300;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUED_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream stream;

	private final InstantSource clock;

	private final Thread writer;

	private final int linesPerSecond;

	private long second;

	private int linesThisSecond;

	private volatile boolean closed;

	/**
	 * Creates a log and starts its thread.
	 * @param stream the stream that the lines are written to
	 * @param clock provides the time of each event
	 * @param linesPerSecond the maximum number of lines per second
	 */
	public StreamEventLog(PrintStream stream, InstantSource clock, int linesPerSecond) {
		this.stream = stream;
		this.clock = clock;
		this.linesPerSecond = linesPerSecond;
		this.writer = Thread.ofPlatform().name("log").daemon().start(this::write);
	}

	@Override
	public void write(LogEvent event, Map<String, Object> fields) {
		if (!admitted(this.clock.millis() / SECOND_MILLIS)
				|| !this.lines.offer(EventLines.json(this.clock.instant(), event, fields))) {
			this.dropped.incrementAndGet();
		}
	}

	private synchronized boolean admitted(long now) {
		if (now != this.second) {
			this.second = now;
			this.linesThisSecond = 0;
		}
		return this.linesThisSecond++ < this.linesPerSecond;
	}

	private void write() {
		StringBuilder block = new StringBuilder();
		try {
			while (!this.closed || !this.lines.isEmpty()) {
				String line = this.lines.poll(SECOND_MILLIS, TimeUnit.MILLISECONDS);
				while (line != null) {
					block.append(line).append('\n');
					line = this.lines.poll();
				}
				long lost = this.dropped.getAndSet(0);
				if (lost > 0) {
					block
						.append(EventLines.json(this.clock.instant(), LogEvent.LOG_LINES_DROPPED,
								Map.of("lines", lost)))
						.append('\n');
				}
				if (!block.isEmpty()) {
					this.stream.print(block);
					this.stream.flush();
					block.setLength(0);
				}
			}
		}
		catch (InterruptedException ex) {
			// Only close() interrupts this thread.
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		this.closed = true;
		try {
			this.writer.join(CLOSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.writer.interrupt();
	}

}
