package io.verbenatrack.settings;

import java.net.URI;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.verbenatrack.model.Identifiers;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RegionId;
import io.verbenatrack.model.Result;
import io.verbenatrack.model.ZoneId;

/**
 * Reads and validates the YAML settings file of an instance.
 */
public final class InstanceSettingsReader {

	private InstanceSettingsReader() {
	}

	/**
	 * Reads a settings file.
	 * @param file the file
	 * @return the settings, or the first problem found, with its file, line and key
	 */
	public static Result<InstanceSettings> read(Path file) {
		return ReadResults.capture(() -> settings(DocumentParser.yaml(file)));
	}

	/**
	 * Reads settings from a YAML document in memory.
	 * @param name the name of the document in messages
	 * @param content the document, encoded in UTF-8
	 * @return the settings, or the first problem found, with its line and key
	 */
	public static Result<InstanceSettings> read(String name, byte[] content) {
		return ReadResults.capture(() -> settings(DocumentParser.yaml(name, content)));
	}

	private static InstanceSettings settings(MappingReader reader) {
		reader.requireKnownKeys("cluster", "instance", "region", "zone", "http", "grpc", "data", "peers", "limits",
				"timeouts", "telemetry");
		InstanceSettings settings = new InstanceSettings(reader.identifier("cluster", InstanceSettingsReader::cluster),
				reader.identifier("instance", InstanceId::new), reader.identifier("region", RegionId::new),
				reader.identifier("zone", ZoneId::new), reader.address("http"), reader.address("grpc"), data(reader),
				peers(reader), LimitSettingsReader.read(reader.mapping("limits")),
				TimeoutSettingsReader.read(reader.mapping("timeouts")), telemetry(reader.mapping("telemetry")));
		check(reader, settings);
		return settings;
	}

	private static String cluster(String text) {
		Identifiers.requireValid("cluster", text);
		return text;
	}

	private static Optional<Path> data(MappingReader reader) {
		return reader.optionalText("data").map((text) -> {
			try {
				return Path.of(text);
			}
			catch (InvalidPathException ex) {
				throw reader.invalidValue("data", text, "Give the path of a folder.");
			}
		});
	}

	private static List<PeerSettings> peers(MappingReader reader) {
		return reader.mappings("peers").stream().map(InstanceSettingsReader::peer).toList();
	}

	private static PeerSettings peer(MappingReader reader) {
		reader.requireKnownKeys("instance", "region", "zone", "grpc", "replica");
		PeerSettings peer = new PeerSettings(reader.identifier("instance", InstanceId::new),
				reader.identifier("region", RegionId::new), reader.identifier("zone", ZoneId::new),
				reader.address("grpc"), reader.booleanValue("replica", false));
		if (peer.grpc().port() == 0) {
			throw reader.invalidValue("grpc", peer.grpc().toString(), "Give the fixed port on which the peer listens.");
		}
		return peer;
	}

	private static TelemetrySettings telemetry(MappingReader reader) {
		reader.requireKnownKeys("log-format", "traces", "traces-endpoint", "traces-share");
		TelemetrySettings.TraceExport traces = reader.enumValue("traces", TelemetrySettings.TraceExport.NONE);
		Optional<URI> endpoint = reader.optionalText("traces-endpoint").map((text) -> uri(reader, text));
		boolean otlp = traces == TelemetrySettings.TraceExport.OTLP;
		if (otlp != endpoint.isPresent()) {
			throw reader.invalid("traces-endpoint", otlp ? "is missing." : "has no use here.",
					otlp ? "Name the collector, such as http://127.0.0.1:4318/v1/traces."
							: "Remove it, or set traces to otlp.");
		}
		return new TelemetrySettings(reader.enumValue("log-format", TelemetrySettings.LogFormat.TEXT), traces, endpoint,
				reader.decimal("traces-share", 1, 0, 1));
	}

	private static URI uri(MappingReader reader, String text) {
		String remedy = "Give a URL such as http://127.0.0.1:4318/v1/traces.";
		try {
			URI uri = URI.create(text);
			if (("http".equals(uri.getScheme()) || "https".equals(uri.getScheme())) && uri.getHost() != null) {
				return uri;
			}
		}
		catch (IllegalArgumentException ex) {
			throw reader.invalidValue("traces-endpoint", text, remedy);
		}
		throw reader.invalidValue("traces-endpoint", text, remedy);
	}

	private static void check(MappingReader reader, InstanceSettings settings) {
		for (SettingsRule rule : SettingsRule.ALL) {
			rule.violation(settings).ifPresent((violation) -> {
				throw reader.invalid(violation.key(), violation.found(), violation.remedy());
			});
		}
	}

}
