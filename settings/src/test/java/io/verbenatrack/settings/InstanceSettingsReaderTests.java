package io.verbenatrack.settings;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.model.Problem;
import io.verbenatrack.model.Result;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link InstanceSettingsReader}.
 */
public class InstanceSettingsReaderTests {

	private static final int TEN_MEBIBYTES = 10 << 20;

	@Test
	public void readsTheExamples() {
		for (String example : new String[] { "hamid", "visina" }) {
			Path file = Examples.folder().resolve(example).resolve("instance.yaml");
			assertThat(Examples.value(InstanceSettingsReader.read(file)).cluster()).isEqualTo(example);
		}
	}

	@Test
	public void readsEveryKindOfValue() {
		InstanceSettings settings = Examples.value(read(Examples.INSTANCE + """
				data: /var/lib/verbenatrack
				peers:
				  - {instance: i-2, region: r, zone: y, grpc: "10.0.0.2:8081", replica: true}
				limits: {request-body: 64KiB, ring-capacity: 64}
				timeouts: {connect: 250ms}
				telemetry: {log-format: json, traces: otlp, traces-endpoint: "http://127.0.0.1:4318/v1/traces"}
				"""));
		assertThat(settings.replica()).isTrue();
		assertThat(settings.peers()).singleElement().extracting(PeerSettings::replica).isEqualTo(true);
		assertThat(settings.limits().requestBodyBytes()).isEqualTo(64 << 10);
		assertThat(settings.timeouts().connect()).isEqualTo(Duration.ofMillis(250));
		assertThat(settings.telemetry().logFormat()).isEqualTo(TelemetrySettings.LogFormat.JSON);
	}

	@Test
	public void isNotAReplicaWithoutDataDirectory() {
		assertThat(Examples.value(read(Examples.INSTANCE)).replica()).isFalse();
	}

	@DataProvider
	public Object[][] invalidAdditions() {
		return new Object[][] { { "zoen: z\n", "s.yaml:7: The key 'zoen' is not known.", "Did you mean 'zone'?" },
				{ "qqqqqqqq: 1\n", "The key 'qqqqqqqq' is not known.", "Known keys here: cluster, instance" },
				{ "zone: y\n", "s.yaml:7: The key 'zone' stands twice, first at line 4.", "Keep one" },
				{ "timeouts: {connect: 1 fortnight}\n", "s.yaml:7: The key 'timeouts.connect' has '1 fortnight'.",
						"ms, s, m, h or d" },
				{ "timeouts: {connect: 5}\n", "'timeouts.connect' has '5'.", "a unit" },
				{ "timeouts: {connect: -5s}\n", "'timeouts.connect' has '-5s'.", "whole number" },
				{ "timeouts: {connect: 2m}\n", "'timeouts.connect' has '2m'.", "from 1ms to 1m" },
				{ "limits: {workers: -1}\n", "'limits.workers' has '-1'.", "from 1 to" },
				{ "limits: {request-body: 1MB}\n", "'limits.request-body' has '1MB'.", "KiB, MiB" },
				{ "limits: [1]\n", "The key 'limits' has a list.", "'key: value' lines" },
				{ "limits:\n", "The key 'limits' has no value.", "'key: value' lines" },
				{ "peers: {a: 1}\n", "The key 'peers' has a mapping.", "Give it a list." },
				{ "telemetry: {log-format: xml}\n", "'telemetry.log-format' has 'xml'.", "text, json" },
				{ "telemetry: {traces: otlp}\n", "'telemetry.traces-endpoint' is missing.", "Name the collector" },
				{ "data: *a\n", "s.yaml:7: Found an anchor or alias.", "aliases are refused" },
				{ "peers: &a []\n", "s.yaml:7: Found an anchor or alias.", "aliases are refused" },
				{ "data: [x\n", "is not well-formed", "Correct the indentation" },
				{ "---\ncluster: d\n", "A second document starts here.", "Keep one document" },
				{ "data: \u0000\n", "s.yaml:7: Found the control byte 0.", "binary file" } };
	}

	@Test(dataProvider = "invalidAdditions")
	public void reportsLocationAndRemedy(String addition, String message, String remedy) {
		Problem problem = Examples.problem(read(Examples.INSTANCE + addition));
		assertThat(problem.message()).contains(message);
		assertThat(problem.remedy()).contains(remedy);
	}

	@DataProvider
	public Object[][] invalidDocuments() {
		return new Object[][] { { "", "s.yaml:1: The document is empty." }, { " \n\n", "The document is empty." },
				{ "# only a comment\n", "The document is empty." }, { "- a\n", "Found a list at the top." },
				{ "text", "Found 'text' at the top." }, { "cluster: c\n", "The key 'instance' is missing." },
				{ "a: ".repeat(20) + "1", "s.yaml" }, { "[".repeat(5000), "s.yaml" },
				{ "a: &a [x,x]\nb: &b [*a,*a]\nc: &c [*b,*b]\n", "Found an anchor or alias." },
				{ "x".repeat(TEN_MEBIBYTES), "The document is over" },
				{ "\u007fELF\u0002", "Found the control byte" } };
	}

	@Test(dataProvider = "invalidDocuments")
	public void refusesInvalidDocuments(String document, String message) {
		assertThat(Examples.problem(read(document)).message()).contains(message);
	}

	@Test
	public void refusesMalformedUtf8() {
		byte[] bytes = { 'a', ':', ' ', (byte) 0xC3, (byte) 0x28 };
		assertThat(Examples.problem(InstanceSettingsReader.read("s.yaml", bytes)).message())
			.isEqualTo("s.yaml: The document is not text in UTF-8.");
	}

	@Test
	public void reportsAMissingFile() {
		assertThat(Examples.problem(InstanceSettingsReader.read(Path.of("no-such-file.yaml"))).message())
			.isEqualTo("no-such-file.yaml: There is no such file.");
	}

	private static Result<InstanceSettings> read(String text) {
		return InstanceSettingsReader.read("s.yaml", text.getBytes(StandardCharsets.UTF_8));
	}

}
