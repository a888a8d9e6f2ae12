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
 * Reads the body of an answer. A small body is buffered; a large one is streamed to the
 * caller after {@link #streamTo} is called.
 * <p>
 * The last part of a streamed body is withheld until length and digest have been checked,
 * so a caller never receives a complete body that is corrupt. A part is read only after
 * the caller has received the part before the withheld one, which bounds the memory use.
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
	 * @param head the head of the answer
	 * @param maximumBufferedBytes the largest body that is buffered, in bytes
	 * @param streamReady called when a large body is ready for {@link #streamTo}
	 * @param callerFailed called when writing to the caller fails
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
	 * Streams a large body to a caller to which the head has already been written.
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
	 * Runs an action once the whole body has been read and, if it is streamed, the caller
	 * has received all but the withheld part. The HTTP client reports an answer as
	 * complete before its last part has been read, so its callback alone does not
	 * suffice.
	 * @param action the action
	 */
	void whenFinished(Runnable action) {
		this.finished.thenRun(action);
	}

	ByteBuffer withheldPart() {
		return ByteBuffer.wrap(this.withheld);
	}

	/**
	 * Checks the length and the digest of the complete body.
	 * @return {@code Answered}, or {@code Lost} with the cause
	 */
	AttemptResult check() {
		if (this.bytesRead != this.head.length()) {
			return new AttemptResult.Lost(LossCause.WRONG_LENGTH);
		}
		return BodyDigest.of(this.digest).equals(this.head.digest()) ? new AttemptResult.Answered()
				: new AttemptResult.Lost(LossCause.WRONG_DIGEST);
	}

}
