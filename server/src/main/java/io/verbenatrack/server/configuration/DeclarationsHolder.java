package io.verbenatrack.server.configuration;

import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.Revision;

/**
 * Holds the newest declarations that one part of an instance knows.
 */
public final class DeclarationsHolder {

	private volatile Declarations declarations = Declarations.EMPTY;

	private volatile Revision revision = Revision.NONE;

	private volatile Consumer<Declarations> listener = (accepted) -> {
	};

	/**
	 * The newest declarations.
	 * @return the declarations, empty before the first change
	 */
	public Declarations declarations() {
		return this.declarations;
	}

	/**
	 * The revision of the newest declarations.
	 * @return the revision
	 */
	public Revision revision() {
		return this.revision;
	}

	/**
	 * Sets who hears of newer declarations.
	 * @param listener called on the thread that brings them
	 */
	public void onUpdate(Consumer<Declarations> listener) {
		this.listener = listener;
	}

	/**
	 * Takes newer declarations.
	 * @param newRevision their revision
	 * @param encoded the encoded declarations
	 */
	public void update(Revision newRevision, ByteString encoded) {
		this.declarations = DeclarationsDecoder.decode(encoded);
		this.revision = newRevision;
		this.listener.accept(this.declarations);
	}

}
