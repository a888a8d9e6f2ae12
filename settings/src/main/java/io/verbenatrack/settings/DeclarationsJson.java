package io.verbenatrack.settings;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.ExceptionDeclaration;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.Result;

/**
 * Converts declarations to and from the JSON format that docs/API.md specifies.
 */
public final class DeclarationsJson {

	private static final JsonFactory FACTORY = new JsonFactory();

	private DeclarationsJson() {
	}

	/**
	 * Parses declarations.
	 * @param json the JSON text, encoded in UTF-8
	 * @return the declarations, or the first problem found, with its line and key
	 */
	public static Result<Declarations> read(byte[] json) {
		return ReadResults.capture(() -> {
			DeclarationsBuilder builder = new DeclarationsBuilder();
			builder.add(DocumentParser.json("declarations", json));
			return builder.build();
		});
	}

	/**
	 * Serializes declarations.
	 * @param declarations the declarations
	 * @return one line of JSON; equal declarations produce equal text
	 */
	public static String write(Declarations declarations) {
		StringWriter text = new StringWriter();
		try (JsonGenerator json = FACTORY.createGenerator(text)) {
			json.writeStartObject();
			write(json, declarations.defaults());
			json.writeArrayFieldStart("accounts");
			for (AccountDeclaration account : declarations.accounts()) {
				write(json, account);
			}
			json.writeEndArray();
			json.writeArrayFieldStart("exceptions");
			for (ExceptionDeclaration exception : declarations.exceptions()) {
				write(json, exception);
			}
			json.writeEndArray();
			json.writeEndObject();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return text.toString();
	}

	private static void write(JsonGenerator json, FleetDefaults defaults) throws IOException {
		json.writeObjectFieldStart("defaults");
		json.writeNumberField("completionTimeWeight", defaults.completionTimeWeight());
		json.writeStringField("checkpointGrace", DurationFormat.format(defaults.checkpointGrace()));
		json.writeStringField("leaseDuration", DurationFormat.format(defaults.leaseDuration()));
		json.writeNumberField("quarantineAfterFailures", defaults.quarantineAfterFailures());
		json.writeStringField("quarantineProbation", DurationFormat.format(defaults.quarantineProbation()));
		json.writeNumberField("quarantineMaximumShare", defaults.quarantineMaximumShare());
		json.writeNumberField("refuseAfterWorkers", defaults.refuseAfterWorkers());
		json.writeBooleanField("backfill", defaults.backfill());
		json.writeEndObject();
	}

	private static void write(JsonGenerator json, AccountDeclaration account) throws IOException {
		json.writeStartObject();
		json.writeStringField("id", account.id().value());
		json.writeNumberField("weight", account.weight());
		json.writeNumberField("degradeOrder", account.degradeOrder());
		json.writeArrayFieldStart("guarantees");
		for (Guarantee guarantee : account.guarantees()) {
			json.writeStartObject();
			json.writeNumberField("accelerators", guarantee.shape().accelerators());
			json.writeNumberField("coresPerAccelerator", guarantee.shape().coresPerAccelerator());
			json.writeNumberField("memoryGibPerAccelerator", guarantee.shape().memoryGibPerAccelerator());
			json.writeNumberField("count", guarantee.count());
			json.writeEndObject();
		}
		json.writeEndArray();
		json.writeEndObject();
	}

	private static void write(JsonGenerator json, ExceptionDeclaration exception) throws IOException {
		json.writeStartObject();
		json.writeStringField("name", exception.name());
		switch (exception.scope()) {
			case ExceptionDeclaration.Scope.OneAccount scope ->
				json.writeStringField("account", scope.account().value());
			case ExceptionDeclaration.Scope.OneRack scope -> json.writeStringField("rack", scope.rack().value());
		}
		json.writeStringField("setting", exception.setting());
		json.writeStringField("value", exception.value());
		json.writeStringField("reason", exception.reason());
		if (exception.expires().isPresent()) {
			json.writeStringField("expires", exception.expires().get().toString());
		}
		json.writeEndObject();
	}

}
