package io.verbenatrack.server.routing;

import java.io.IOException;
import java.security.MessageDigest;

import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;

import io.verbenatrack.routing.BodyDigest;

/**
 * Streams a large request body to the target, and fails instead of sending its last part
 * if the digest does not match.
 */
final class StreamedRequestBody implements Request.Content {

	private final Content.Source source;

	private final CallerRequest callerRequest;

	private final MessageDigest digest = BodyDigest.newMessageDigest();

	StreamedRequestBody(Content.Source source, CallerRequest callerRequest) {
		this.source = source;
		this.callerRequest = callerRequest;
	}

	@Override
	public String getContentType() {
		return this.callerRequest.contentType().isEmpty() ? null : this.callerRequest.contentType();
	}

	@Override
	public long getLength() {
		return this.callerRequest.streamedBytes();
	}

	@Override
	public Content.Chunk read() {
		Content.Chunk chunk = this.source.read();
		if (chunk == null) {
			return null;
		}
		if (Content.Chunk.isFailure(chunk)) {
			return Content.Chunk.from(new CallerFailure(chunk.getFailure().getMessage()));
		}
		this.digest.update(chunk.getByteBuffer().slice());
		if (chunk.isLast() && !BodyDigest.of(this.digest).equals(this.callerRequest.digest())) {
			chunk.release();
			return Content.Chunk.from(new CallerFailure("The body of the caller does not match its digest."));
		}
		return chunk;
	}

	@Override
	public void demand(Runnable demandCallback) {
		this.source.demand(demandCallback);
	}

	@Override
	public void fail(Throwable failure) {
		this.source.fail(failure);
	}

	/**
	 * Signals that the caller, and not the target, failed.
	 */
	static final class CallerFailure extends IOException {

		CallerFailure(String message) {
			super(message);
		}

	}

}
