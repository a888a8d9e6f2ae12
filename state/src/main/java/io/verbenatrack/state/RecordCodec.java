package io.verbenatrack.state;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.StreamWriteFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.ExceptionDeclaration;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.JobId;
import io.verbenatrack.model.JobOutcome;
import io.verbenatrack.model.RackId;
import io.verbenatrack.model.RegionId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.WorkerId;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.scheduling.SchedulingDecision;

/**
 * Encodes records as bytes and decodes them.
 *
 * <p>
 * Values of sealed types carry the simple name of their record class. A reader that does
 * not know the record of a newer release fails with an error that names it.
 */
public final class RecordCodec {

	private static final List<Class<?>> IDENTIFIERS = List.of(AccountId.class, AttemptId.class, ChangeId.class,
			InstanceId.class, JobId.class, RackId.class, RegionId.class, RequestId.class, ServiceId.class,
			TargetId.class, WorkerId.class, ZoneId.class);

	private final ObjectMapper mapper;

	private RecordCodec(ObjectMapper mapper) {
		this.mapper = mapper;
	}

	/**
	 * Creates a codec for the control log and for calls between instances.
	 * @param sealedTypes additional sealed types, encoded with the name of their record
	 * @return a codec that writes CBOR (RFC 8949)
	 */
	public static RecordCodec cbor(Class<?>... sealedTypes) {
		return new RecordCodec(configure(CBORMapper.builder().build(), sealedTypes));
	}

	/**
	 * Creates a codec for the HTTP API and for output that people read.
	 * @param sealedTypes additional sealed types, encoded with the name of their record
	 * @return a codec that writes JSON
	 */
	public static RecordCodec json(Class<?>... sealedTypes) {
		return new RecordCodec(configure(JsonMapper.builder().build(), sealedTypes));
	}

	private static ObjectMapper configure(ObjectMapper mapper, Class<?>... sealedTypes) {
		mapper.registerModule(new JavaTimeModule());
		mapper.registerModule(new Jdk8Module());
		mapper.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS);
		mapper.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS);
		IDENTIFIERS.forEach((type) -> mapper.addMixIn(type, IdentifierMixIn.class));
		registerSealed(mapper, SchedulingDecision.class);
		registerSealed(mapper, JobOutcome.class);
		registerSealed(mapper, ExceptionDeclaration.Scope.class);
		for (Class<?> type : sealedTypes) {
			registerSealed(mapper, type);
		}
		return mapper;
	}

	private static void registerSealed(ObjectMapper mapper, Class<?> type) {
		mapper.addMixIn(type, SealedTypeMixIn.class);
		for (Class<?> permitted : type.getPermittedSubclasses()) {
			if (permitted.isSealed()) {
				registerSealed(mapper, permitted);
			}
			else {
				mapper.registerSubtypes(new NamedType(permitted, permitted.getSimpleName()));
			}
		}
	}

	/**
	 * Encodes a record.
	 * @param value the record
	 * @return the encoded bytes
	 * @throws UncheckedIOException if the record cannot be encoded
	 */
	public byte[] encode(Object value) {
		try {
			return this.mapper.writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Decodes a record.
	 * @param <T> the type of the record
	 * @param bytes the bytes written by {@link #encode(Object)}
	 * @param type the type of the record
	 * @return the record
	 * @throws UncheckedIOException if the bytes do not encode a record of this type
	 */
	public <T> T decode(byte[] bytes, Class<T> type) {
		try {
			return this.mapper.readValue(bytes, type);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Encodes a record without holding all of its bytes.
	 * @param value the record
	 * @param output receives the encoded bytes; it is not closed
	 * @throws IOException if the record cannot be encoded or the bytes not written
	 */
	public void encode(Object value, OutputStream output) throws IOException {
		this.mapper.writer().without(StreamWriteFeature.AUTO_CLOSE_TARGET).writeValue(output, value);
	}

	/**
	 * Decodes a record without holding all of its bytes.
	 * @param <T> the type of the record
	 * @param input the bytes written by {@link #encode(Object, OutputStream)}
	 * @param type the type of the record
	 * @return the record
	 * @throws IOException if the bytes cannot be read or do not encode a record of this
	 * type
	 */
	public <T> T decode(InputStream input, Class<T> type) throws IOException {
		return this.mapper.readValue(input, type);
	}

	/**
	 * Returns the object mapper of this codec.
	 * @return the mapper, which must not be reconfigured
	 */
	public ObjectMapper mapper() {
		return this.mapper;
	}

	/** Encodes an identifier as its text. */
	private abstract static class IdentifierMixIn {

		@JsonCreator(mode = JsonCreator.Mode.DELEGATING)
		IdentifierMixIn(String value) {
		}

		@JsonValue
		abstract String value();

	}

	/** Adds the name of the record class to its components. */
	@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
	private interface SealedTypeMixIn {

	}

}
