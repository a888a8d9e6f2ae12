package io.verbenatrack.server.leader;

import java.util.function.Consumer;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.state.configuration.ConfigurationInForce;

/**
 * Holds the declarations that a quorum accepted, as this replica has applied them.
 */
public final class AcceptedDeclarations {

	private volatile Declarations declarations = Declarations.EMPTY;

	private volatile Consumer<Declarations> listener = (accepted) -> {
	};

	/**
	 * The accepted declarations.
	 * @return the declarations, empty before the first change
	 */
	public Declarations declarations() {
		return this.declarations;
	}

	/**
	 * Sets who hears of accepted declarations.
	 * @param listener called on the thread that applies the log
	 */
	public void listener(Consumer<Declarations> listener) {
		this.listener = listener;
	}

	/**
	 * Takes an accepted configuration.
	 * @param inForce the configuration
	 */
	public void accept(ConfigurationInForce inForce) {
		this.declarations = ReplicatedCommands.read(inForce);
		this.listener.accept(this.declarations);
	}

}
