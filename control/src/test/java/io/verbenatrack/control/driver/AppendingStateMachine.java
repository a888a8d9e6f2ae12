package io.verbenatrack.control.driver;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import io.verbenatrack.control.StateMachine;

/**
 * A state machine that counts all commands and concatenates them, up to a length.
 */
public final class AppendingStateMachine implements StateMachine {

	private final StringBuilder text = new StringBuilder();

	private final int maximumLength;

	private int count;

	public AppendingStateMachine() {
		this(Integer.MAX_VALUE);
	}

	/**
	 * Creates a state machine that keeps the end of the text only.
	 * @param maximumLength the length that is kept, in characters
	 */
	public AppendingStateMachine(int maximumLength) {
		this.maximumLength = maximumLength;
	}

	@Override
	public synchronized byte[] apply(long index, byte[] command) {
		this.text.append(new String(command, StandardCharsets.UTF_8)).append(' ');
		this.text.delete(0, Math.max(0, this.text.length() - this.maximumLength));
		this.count++;
		return Integer.toString(this.count).getBytes(StandardCharsets.UTF_8);
	}

	@Override
	public synchronized void snapshot(OutputStream output) throws IOException {
		output.write((this.count + ":" + this.text).getBytes(StandardCharsets.UTF_8));
	}

	@Override
	public synchronized void restore(InputStream snapshot) throws IOException {
		String whole = new String(snapshot.readAllBytes(), StandardCharsets.UTF_8);
		int colon = whole.indexOf(':');
		this.count = Integer.parseInt(whole.substring(0, colon));
		this.text.setLength(0);
		this.text.append(whole.substring(colon + 1));
	}

	public synchronized String text() {
		return this.text.toString();
	}

}
