package io.verbenatrack.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.server.command.CommandCodec;
import io.verbenatrack.server.command.EntryCommand;
import io.verbenatrack.server.command.EntryReply;
import io.verbenatrack.settings.DeclarationsJson;
import io.verbenatrack.state.claims.ClaimCodec;
import io.verbenatrack.state.claims.ClaimState;
import io.verbenatrack.state.configuration.ConfigurationCodec;
import io.verbenatrack.state.configuration.ConfigurationState;

/**
 * Measures the size of claims and configuration changes in the log and in snapshots.
 */
final class StateProbe {

	private static final int STATE_LIMIT = 100_000;

	private static final Instant EXPIRY = Instant.parse("2026-01-01T00:00:00Z");

	private static final Duration LEASE = Duration.ofSeconds(10);

	private static final int DIGEST_CHARACTERS = 64;

	private final MeasurementCollector collector;

	StateProbe(MeasurementCollector collector) {
		this.collector = collector;
	}

	void measureClaims(int count) {
		ClaimState state = new ClaimState(STATE_LIMIT, STATE_LIMIT);
		long bytes = 0;
		for (int i = 0; i < count; i++) {
			byte[] command = ClaimCodec.claim(new RequestId("request-%06d".formatted(i)), new AccountId("account-07"),
					"0".repeat(DIGEST_CHARACTERS), new InstanceId("entry-1"),
					new AttemptId("attempt-%06d".formatted(i)), EXPIRY);
			bytes += command.length;
			state.apply(command);
		}
		this.collector.add("log of a claim", "bytes for each claim", "claims", count, bytes / (double) count);
		this.collector.add("snapshot of claims", "bytes for each claim", "claims", count,
				state.snapshot().length / (double) count);
	}

	void measureRelay(int workers) {
		CommandCodec codec = new CommandCodec();
		long bytes = 0;
		for (int i = 0; i < workers; i++) {
			EntryCommand command = new EntryCommand.AnnounceWorker(SampleFleet.worker(i),
					"http://10.0.0.1:9101/workers/" + i, "5f0c");
			bytes += codec.encode(command).length;
			bytes += codec.encode(new EntryReply.WorkerLease(LEASE)).length;
		}
		this.collector.add("relay of an announcement from an entry to the leader, with its reply", "bytes", "workers",
				workers, bytes / (double) workers);
	}

	void measureChanges(int count) {
		byte[] declarations = DeclarationsJson.write(SampleFleet.declarations()).getBytes(StandardCharsets.UTF_8);
		ConfigurationState state = new ConfigurationState();
		long bytes = 0;
		for (int i = 0; i < count; i++) {
			byte[] command = ConfigurationCodec.change(new ChangeId("change-%06d".formatted(i)), "operator", i,
					declarations);
			bytes += command.length;
			state.apply(command);
		}
		this.collector.add("log of a configuration change of 42 accounts", "bytes for each change", "changes", count,
				bytes / (double) count);
		this.collector.add("snapshot of the configuration", "bytes", "changes", count, state.snapshot().length);
	}

}
