package io.verbenatrack.routing;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;

/**
 * The SHA-256 digest of a body.
 *
 * @param hex 64 lower-case hexadecimal digits
 */
public record BodyDigest(String hex) {

	private static final String PREFIX = "sha-256=";

	private static final int HEX_DIGITS = 64;

	/**
	 * Creates a digest.
	 * @param hex 64 lower-case hexadecimal digits
	 * @throws IllegalArgumentException if {@code hex} has another form
	 */
	public BodyDigest {
		if (hex.length() != HEX_DIGITS || !hex.chars().allMatch(BodyDigest::isHexDigit)) {
			throw new IllegalArgumentException("The digest is not SHA-256. Give 64 lower-case hexadecimal digits.");
		}
	}

	/**
	 * Computes the digest of a whole body.
	 * @param body the body
	 * @return the digest
	 */
	public static BodyDigest of(byte[] body) {
		return new BodyDigest(HexFormat.of().formatHex(newMessageDigest().digest(body)));
	}

	/**
	 * Completes an incremental computation.
	 * @param digest the computation, which is reset
	 * @return the digest of all bytes passed to the computation
	 */
	public static BodyDigest of(MessageDigest digest) {
		return new BodyDigest(HexFormat.of().formatHex(digest.digest()));
	}

	/**
	 * Starts the computation of the digest of a body that arrives in parts.
	 * @return a SHA-256 computation
	 */
	public static MessageDigest newMessageDigest() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("The Java runtime does not provide SHA-256. Use a complete JDK.", ex);
		}
	}

	/**
	 * Parses the value of a {@code Verbenatrack-Digest} header.
	 * @param header the header value, may be null
	 * @return the digest, or empty when the value is missing or malformed
	 */
	public static Optional<BodyDigest> parse(String header) {
		if (header == null || !header.startsWith(PREFIX) || header.length() != PREFIX.length() + HEX_DIGITS) {
			return Optional.empty();
		}
		String hex = header.substring(PREFIX.length());
		return hex.chars().allMatch(BodyDigest::isHexDigit) ? Optional.of(new BodyDigest(hex)) : Optional.empty();
	}

	/**
	 * Returns the value for a {@code Verbenatrack-Digest} header.
	 * @return the algorithm and the hexadecimal digits
	 */
	public String header() {
		return PREFIX + this.hex;
	}

	private static boolean isHexDigit(int character) {
		return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
	}

}
