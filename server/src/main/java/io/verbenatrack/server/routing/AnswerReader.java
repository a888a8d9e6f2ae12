package io.verbenatrack.server.routing;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;

import io.verbenatrack.routing.AttemptResult;
import io.verbenatrack.routing.BodyDigest;
import io.verbenatrack.routing.LossCause;

/**
 * Reads the body of an answer: a small one is held whole, a large one waits for a caller
 * to stream to.
 * <p>
 * Of a streamed body the last part is withheld until length and digest were checked. One
 * part at a time is in memory, and the next is read only once the caller took the last.
 */
final class AnswerReader {

	private final AnswerHead.Body head;

	private final boolean buffered;

	private final Runnable streamReady;

	private final Consumer<Throwable> callerFailed;

	private final MessageDigest digest = BodyDigest.newMessageDigest();

	private final ByteArrayOutputStream buffer = new ByteArrayOutputStream();

	private final CompletableFuture<Void> finished = new CompletableFuture<>();

	private Content.Source source;

	private CallerExchange caller;

	private byte[] withheld = new byte[0];

	private long bytesRead;

	private boolean complete;

	/**
	 * Creates a reader.
	 * @param head what the head announced
	 * @param maximumBufferedBytes the largest body held whole, in bytes
	 * @param streamReady called when a large body waits for {@link #streamTo}
	 * @param callerFailed called when the caller does not take the body
	 */
	AnswerReader(AnswerHead.Body head, int maximumBufferedBytes, Runnable streamReady,
			Consumer<Throwable> callerFailed) {
		this.head = head;
		this.buffered = head.length() <= maximumBufferedBytes;
		this.streamReady = streamReady;
		this.callerFailed = callerFailed;
	}

	AnswerHead.Body head() {
		return this.head;
	}

	boolean isBuffered() {
		return this.buffered;
	}

	byte[] bufferedBody() {
		return this.buffer.toByteArray();
	}

	void start(Content.Source content) {
		this.source = content;
		if (this.buffered) {
			readBuffered();
		}
		else {
			this.streamReady.run();
		}
	}

	private void readBuffered() {
		Content.Chunk chunk = this.source.read();
		while (chunk != null && !Content.Chunk.isFailure(chunk)) {
			byte[] part = consume(chunk);
			this.buffer.write(part, 0, part.length);
			if (this.complete) {
				this.finished.complete(null);
				return;
			}
			chunk = this.source.read();
		}
		if (chunk == null) {
			this.source.demand(this::readBuffered);
		}
	}

	private byte[] consume(Content.Chunk chunk) {
		ByteBuffer content = chunk.getByteBuffer();
		byte[] part = new byte[content.remaining()];
		content.get(part);
		this.complete = chunk.isLast();
		chunk.release();
		this.digest.update(part);
		this.bytesRead += part.length;
		return part;
	}

	/**
	 * Streams a large body, whose head the caller already has.
	 * @param exchange the caller
	 */
	void streamTo(CallerExchange exchange) {
		this.caller = exchange;
		readStreamed();
	}

	private void readStreamed() {
		Content.Chunk chunk = this.source.read();
		if (chunk == null) {
			this.source.demand(this::readStreamed);
			return;
		}
		if (Content.Chunk.isFailure(chunk)) {
			return;
		}
		byte[] part = consume(chunk);
		byte[] earlier = this.withheld;
		this.withheld = (part.length > 0) ? part : earlier;
		if (part.length > 0 && earlier.length > 0) {
			this.caller.writePart(ByteBuffer.wrap(earlier), Callback.from(this::continueStreaming, this.callerFailed));
		}
		else {
			continueStreaming();
		}
	}

	private void continueStreaming() {
		if (this.complete) {
			this.finished.complete(null);
		}
		else {
			readStreamed();
		}
	}

	/**
	 * Runs an action once the whole body was read, and all but the withheld part of a
	 * streamed one was taken by the caller. The client reports the end of an answer
	 * before its last part was read.
	 * @param action the action
	 */
	void whenFinished(Runnable action) {
		this.finished.thenRun(action);
	}

	ByteBuffer withheldPart() {
		return ByteBuffer.wrap(this.withheld);
	}

	/**
	 * Checks the body after its end.
	 * @return answered, or what is wrong with it
	 */
	AttemptResult check() {
		if (this.bytesRead != this.head.length()) {
			return new AttemptResult.Lost(LossCause.WRONG_LENGTH);
		}
		return BodyDigest.of(this.digest).equals(this.head.digest()) ? new AttemptResult.Answered()
				: new AttemptResult.Lost(LossCause.WRONG_DIGEST);
	}

}
