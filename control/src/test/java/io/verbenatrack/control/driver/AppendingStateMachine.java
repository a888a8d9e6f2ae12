package io.verbenatrack.control.driver;

import java.nio.charset.StandardCharsets;

import io.verbenatrack.control.StateMachine;

/**
 * A state machine that concatenates and counts all commands.
 */
public final class AppendingStateMachine implements StateMachine {

	private final StringBuilder text = new StringBuilder();

	private int count;

	@Override
	public synchronized byte[] apply(long index, byte[] command) {
		this.text.append(new String(command, StandardCharsets.UTF_8)).append(' ');
		this.count++;
		return Integer.toString(this.count).getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public synchronized byte[] snapshot() {
		return (this.count + ":" + this.text).getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public synchronized void restore(byte[] snapshot) {
		String whole = new String(snapshot, StandardCharsets.UTF_8);
		int colon = whole.indexOf(':');
		this.count = Integer.parseInt(whole.substring(0, colon));
		this.text.setLength(0);
		this.text.append(whole.substring(colon + 1));
	}

	public synchronized String text() {
		return this.text.toString();
	}

}
