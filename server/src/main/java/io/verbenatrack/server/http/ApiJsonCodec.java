package io.verbenatrack.server.http;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;

import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.Result;
import io.verbenatrack.state.RecordCodec;

/**
 * Decodes and encodes the JSON bodies of the HTTP API.
 */
public final class ApiJsonCodec {

	private final ObjectMapper mapper;

	/**
	 * Creates the codec.
	 */
	public ApiJsonCodec() {
		this.mapper = RecordCodec.json().mapper();
		this.mapper.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
	}

	/**
	 * Decodes a body.
	 * @param <T> the type of the body
	 * @param json the bytes
	 * @param type the type of the body
	 * @return the body, or an INVALID problem with the line and column
	 */
	public <T> Result<T> read(byte[] json, Class<T> type) {
		try {
			T value = this.mapper.readValue(json, type);
			if (value == null) {
				return invalid("The body is empty.");
			}
			return Result.success(value);
		}
		catch (JsonProcessingException ex) {
			return invalid("The body is not valid: " + parserMessage(ex) + location(ex));
		}
		catch (IOException ex) {
			return invalid("The body cannot be read: " + ex.getMessage() + ".");
		}
	}

	private static <T> Result<T> invalid(String message) {
		return Result.failure(ProblemKind.INVALID, message, "Send JSON as docs/API.md describes it.");
	}

	private static String parserMessage(JsonProcessingException ex) {
		Throwable cause = (ex.getCause() instanceof IllegalArgumentException) ? ex.getCause() : ex;
		String text = (cause instanceof JsonProcessingException json) ? json.getOriginalMessage() : cause.getMessage();
		return text.lines().findFirst().orElse("").replaceAll("\\(class [^)]*\\)", "");
	}

	private static String location(JsonProcessingException ex) {
		if (ex.getLocation() == null) {
			return "";
		}
		return " (line " + ex.getLocation().getLineNr() + ", column " + ex.getLocation().getColumnNr() + ")";
	}

	/**
	 * Encodes a body.
	 * @param value the body
	 * @return the bytes
	 * @throws UncheckedIOException if the value cannot be encoded as JSON
	 */
	public byte[] write(Object value) {
		try {
			return this.mapper.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
