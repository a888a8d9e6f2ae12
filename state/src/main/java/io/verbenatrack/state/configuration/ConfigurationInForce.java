package io.verbenatrack.state.configuration;

import java.util.Optional;

import com.google.protobuf.ByteString;

import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Revision;

/**
 * The latest accepted configuration.
 *
 * @param revision its revision
 * @param change the change that brought it, empty before the first
 * @param operator who made the change
 * @param declarations the declarations as the operator's instance encoded them
 */
public record ConfigurationInForce(Revision revision, Optional<ChangeId> change, String operator,
		ByteString declarations) {

	/** Before any configuration was accepted. */
	public static final ConfigurationInForce NONE = new ConfigurationInForce(Revision.NONE, Optional.empty(), "",
			ByteString.EMPTY);

}
