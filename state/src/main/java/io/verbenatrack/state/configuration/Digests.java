package io.verbenatrack.state.configuration;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import com.google.protobuf.ByteString;

/**
 * Digests of what has to be recognized again.
 */
final class Digests {

	private Digests() {
	}

	static ByteString sha256(byte[] content) {
		try {
			return ByteString.copyFrom(MessageDigest.getInstance("SHA-256").digest(content));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("This JDK has no SHA-256. Run a complete JDK.", ex);
		}
	}

}
