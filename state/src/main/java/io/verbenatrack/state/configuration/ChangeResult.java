package io.verbenatrack.state.configuration;

import java.util.Optional;

import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Revision;

/**
 * The result of a configuration change. A retry of the change gets the same result.
 */
public sealed interface ChangeResult {

	/**
	 * The change was accepted.
	 *
	 * @param revision the revision that the change created
	 */
	record Accepted(Revision revision) implements ChangeResult {

	}

	/**
	 * The change was rejected, because its expected revision is not the latest.
	 *
	 * @param winner the change that created the latest revision, empty before the first
	 * @param operator the operator who made that change
	 * @param revision the latest revision
	 */
	record Lost(Optional<ChangeId> winner, String operator, Revision revision) implements ChangeResult {

	}

	/**
	 * The change id was already used for a different change.
	 *
	 * @param change the change id
	 */
	record DifferentChange(ChangeId change) implements ChangeResult {

	}

}
