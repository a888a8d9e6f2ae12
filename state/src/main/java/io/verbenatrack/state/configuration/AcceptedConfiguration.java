package io.verbenatrack.state.configuration;

import java.util.Optional;

import com.google.protobuf.ByteString;

import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Revision;

/**
 * The latest accepted configuration.
 *
 * @param revision its revision
 * @param change the change that created the revision, empty before the first
 * @param operator the operator who made the change
 * @param declarations the declarations, as encoded by the instance that the operator
 * called
 */
public record AcceptedConfiguration(Revision revision, Optional<ChangeId> change, String operator,
		ByteString declarations) {

	/** The configuration before any change is accepted. */
	public static final AcceptedConfiguration NONE = new AcceptedConfiguration(Revision.NONE, Optional.empty(), "",
			ByteString.EMPTY);

}
