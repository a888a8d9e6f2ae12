package io.verbenatrack.server.configuration;

import com.google.protobuf.ByteString;

import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.Result;
import io.verbenatrack.settings.DeclarationsJson;

/**
 * Decodes declarations as they are stored in the control log.
 */
public final class DeclarationsDecoder {

	private DeclarationsDecoder() {
	}

	/**
	 * Decodes declarations.
	 * @param bytes the encoded declarations, empty before the first change
	 * @return the declarations
	 * @throws IllegalStateException if the declarations cannot be read, for example
	 * because a newer version wrote them
	 */
	public static Declarations decode(ByteString bytes) {
		if (bytes.isEmpty()) {
			return Declarations.EMPTY;
		}
		return switch (DeclarationsJson.read(bytes.toByteArray())) {
			case Result.Success<Declarations> success -> success.value();
			case Result.Failure<Declarations> failure -> throw new IllegalStateException(
					"The accepted declarations cannot be read: " + failure.problem() + " Upgrade this instance.");
		};
	}

}
