package io.verbenatrack.fleet.state;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

import org.testng.annotations.Test;

import io.verbenatrack.fleet.model.TaskId;
import io.verbenatrack.fleet.model.WorkerIncarnation;
import io.verbenatrack.model.ZoneId;
import io.verbenatrack.state.golden.GoldenBytes;
import io.verbenatrack.state.golden.SampleRecords;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the encoding of log entries and snapshots of the fleet does not change.
 */
public class FleetFormatTests {

	private final GoldenBytes golden = new GoldenBytes(FleetFormatTests.class, "golden-bytes.txt");

	private final FleetCodec codec = new FleetCodec();

	@Test
	public void batchKeepsItsBytes() {
		this.golden.assertCompatible("batch", SampleRecords.of(FleetBatch.class), this.codec::batch,
				this.codec::encode);
	}

	@Test
	public void snapshotKeepsItsBytes() {
		FleetCommand.AcceptJob accepted = SampleRecords.of(FleetCommand.AcceptJob.class).getFirst();
		WorkerIncarnation life = SampleRecords.of(WorkerIncarnation.class).getFirst();
		FleetState sample = new FleetState();
		sample.apply(new FleetBatch(1, 1,
				List.of(SampleRecords.of(FleetCommand.AdoptConfiguration.class).getFirst(), accepted,
						new FleetCommand.StartRun(new TaskId(accepted.job(), 0, 0, 0), 1, life),
						new FleetCommand.BeginJobs(List.of(accepted.job())),
						new FleetCommand.EvacuateZone(new ZoneId("zone-1")),
						new FleetCommand.WithdrawEvacuation(new ZoneId("zone-2")),
						SampleRecords.of(FleetCommand.RecordRunTimes.class).getFirst(),
						SampleRecords.of(FleetCommand.CancelUnknownJob.class).getFirst())));
		assertThat(sample.runsOn(life)).hasSize(1);
		this.golden.assertCompatible("snapshot-4", List.of(sample), this::restored, this::snapshot);
	}

	// Guards against replicas that cannot read the snapshots of an earlier release. The
	// lines named snapshot have format 2.
	@Test
	public void snapshotsOfEarlierFormatsAreConverted() {
		this.golden.assertConverted("snapshot-1", "snapshot-4", this::restored, this::snapshot);
		this.golden.assertConverted("snapshot", "snapshot-4", this::restored, this::snapshot);
		this.golden.assertConverted("snapshot-3", "snapshot-4", this::restored, this::snapshot);
	}

	private byte[] snapshot(FleetState state) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		try {
			this.codec.snapshot(state, output);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return output.toByteArray();
	}

	private FleetState restored(byte[] bytes) {
		FleetState state = new FleetState();
		try {
			this.codec.restore(state, new ByteArrayInputStream(bytes));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return state;
	}

}
