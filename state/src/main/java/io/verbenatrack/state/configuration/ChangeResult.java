package io.verbenatrack.state.configuration;

import java.util.Optional;

import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Revision;

/**
 * What became of a configuration change; a resend gets the first result again.
 */
public sealed interface ChangeResult {

	/**
	 * The change is the configuration of its revision.
	 *
	 * @param revision the revision
	 */
	record Accepted(Revision revision) implements ChangeResult {

	}

	/**
	 * The expected revision was not the latest.
	 *
	 * @param winner the change that holds the latest revision, empty before the first
	 * @param operator who made it
	 * @param revision the latest revision
	 */
	record Lost(Optional<ChangeId> winner, String operator, Revision revision) implements ChangeResult {

	}

	/**
	 * The change id was used before for another change.
	 *
	 * @param change the change id
	 */
	record DifferentChange(ChangeId change) implements ChangeResult {

	}

}
