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
	private static final int QUEUE_CAPACITY_LINES = 2048;

	private static final long MILLIS_PER_SECOND = 1000;

	/** How long {@link #close()} waits for queued lines to be written. */
	private static final long CLOSE_TIMEOUT_MILLIS = 300;

	private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream stream;

	private final InstantSource clock;

	private final Thread writer;

	private final int linesPerSecond;

	private long currentSecond;

	private int linesInCurrentSecond;

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
		this.writer = Thread.ofPlatform().name("log").daemon().start(this::writeQueuedLines);
	}

	@Override
	public void write(LogEvent event, Map<String, Object> fields) {
		if (!tryAcquireLine(this.clock.millis() / MILLIS_PER_SECOND)
				|| !this.lines.offer(EventFormatter.json(this.clock.instant(), event, fields))) {
			this.dropped.incrementAndGet();
		}
	}

	private synchronized boolean tryAcquireLine(long second) {
		if (second != this.currentSecond) {
			this.currentSecond = second;
			this.linesInCurrentSecond = 0;
		}
		return this.linesInCurrentSecond++ < this.linesPerSecond;
	}

	private void writeQueuedLines() {
		StringBuilder block = new StringBuilder();
		try {
			while (!this.closed || !this.lines.isEmpty()) {
				String line = this.lines.poll(MILLIS_PER_SECOND, TimeUnit.MILLISECONDS);
				while (line != null) {
					block.append(line).append('\n');
					line = this.lines.poll();
				}
				long droppedLines = this.dropped.getAndSet(0);
				if (droppedLines > 0) {
					block
						.append(EventFormatter.json(this.clock.instant(), LogEvent.LOG_LINES_DROPPED,
								Map.of("lines", droppedLines)))
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
			this.writer.join(CLOSE_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.writer.interrupt();
	}

}
