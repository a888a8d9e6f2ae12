package io.verbenatrack.control.driver;

import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * A daemon thread that runs a duty cycle and parks while there is nothing to do.
 */
final class DutyThread implements AutoCloseable {

	private final Duty duty;

	private final Thread thread;

	private final Consumer<Throwable> onFailure;

	private volatile boolean closed;

	private volatile boolean wakeRequested;

	DutyThread(String name, Duty duty, Consumer<Throwable> onFailure) {
		this.duty = duty;
		this.onFailure = onFailure;
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	void wake() {
		if (!this.wakeRequested) {
			this.wakeRequested = true;
			LockSupport.unpark(this.thread);
		}
	}

	/**
	 * Lets the thread end after its current cycle, without waiting for it.
	 */
	void stop() {
		this.closed = true;
		LockSupport.unpark(this.thread);
	}

	boolean closed() {
		return this.closed;
	}

	private void run() {
		try {
			while (!this.closed) {
				this.wakeRequested = false;
				long idleNanos = this.duty.runOnce();
				if (idleNanos > 0 && !this.wakeRequested && !this.closed) {
					LockSupport.parkNanos(this, idleNanos);
				}
			}
		}
		catch (RuntimeException | Error ex) {
			this.closed = true;
			this.onFailure.accept(ex);
		}
	}

	@Override
	public void close() {
		stop();
		boolean interrupted = false;
		while (this.thread.isAlive() && Thread.currentThread() != this.thread) {
			try {
				this.thread.join();
			}
			catch (InterruptedException ex) {
				interrupted = true;
			}
		}
		if (interrupted) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * The work of the thread, run once per cycle.
	 */
	interface Duty {

		/**
		 * Runs one cycle.
		 * @return the maximum time to park before the next cycle, in nanoseconds; 0 to
		 * continue immediately
		 */
		long runOnce();

	}

}
