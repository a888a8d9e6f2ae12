package io.verbenatrack.state.configuration;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

import com.google.protobuf.ByteString;

/**
 * Computes digests that detect a change id reused for different content.
 */
final class Digests {

	private Digests() {
	}

	static ByteString sha256(byte[] content) {
		try {
			return ByteString.copyFrom(MessageDigest.getInstance("SHA-256").digest(content));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("This Java runtime has no SHA-256. Run a complete JDK.", ex);
		}
	}

}
