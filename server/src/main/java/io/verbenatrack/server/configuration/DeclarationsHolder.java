package io.verbenatrack.server.configuration;

import java.util.function.Consumer;

import com.google.protobuf.ByteString;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.Revision;

/**
 * Holds the latest declarations known to one component of an instance.
 */
public final class DeclarationsHolder {

	private volatile Declarations declarations = Declarations.EMPTY;

	private volatile Revision revision = Revision.NONE;

	private volatile Consumer<Declarations> listener = (accepted) -> {
	};

	/**
	 * Returns the latest declarations.
	 * @return the declarations, empty before the first change
	 */
	public Declarations declarations() {
		return this.declarations;
	}

	/**
	 * Returns the revision of the latest declarations.
	 * @return the revision
	 */
	public Revision revision() {
		return this.revision;
	}

	/**
	 * Sets the listener for new declarations, replacing the one before.
	 * @param listener called on the thread that calls {@link #update}
	 */
	public void onUpdate(Consumer<Declarations> listener) {
		this.listener = listener;
	}

	/**
	 * Replaces the declarations and calls the listener.
	 * @param newRevision the revision of the new declarations
	 * @param encoded the encoded declarations
	 * @throws IllegalStateException if the declarations cannot be read, for example
	 * because a newer version wrote them
	 */
	public void update(Revision newRevision, ByteString encoded) {
		this.declarations = DeclarationsDecoder.decode(encoded);
		this.revision = newRevision;
		this.listener.accept(this.declarations);
	}

}
