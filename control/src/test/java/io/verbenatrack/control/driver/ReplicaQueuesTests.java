package io.verbenatrack.control.driver;

import java.util.ArrayList;
import java.util.List;

import com.google.protobuf.ByteString;
import org.testng.annotations.Test;

import io.verbenatrack.control.LogLimits;
import io.verbenatrack.control.ReplicaLimits;
import io.verbenatrack.control.replica.ReplicaEvent;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ReplicaQueues}.
 */
public class ReplicaQueuesTests {

	private static final int MAXIMUM_BYTES = 1_000;

	private final ReplicaQueues queues = new ReplicaQueues(
			new ReplicaLimits(5_000, 100, 10, 64, MAXIMUM_BYTES, LogLimits.DEFAULT, 100, 7));

	private static ProtocolTask proposal(int bytes) {
		return new ProtocolTask.Handle(new ReplicaEvent.Proposed(1, ByteString.copyFrom(new byte[bytes])));
	}

	// Guards against messages that fill the memory of a replica whose protocol thread
	// waits for the disk.
	@Test
	public void messagesBeyondMaximumSizeAreRefused() {
		assertThat(this.queues.post(proposal(600))).isTrue();
		assertThat(this.queues.post(proposal(600))).isFalse();
		assertThat(this.queues.post(proposal(400))).isTrue();
		assertThat(this.queues.post(new ProtocolTask.Handle(new ReplicaEvent.Tick()))).isTrue();
		List<ProtocolTask> drained = new ArrayList<>();
		this.queues.drainInbox(drained::add, 64);
		assertThat(drained).hasSize(3);
		assertThat(this.queues.post(proposal(4_000))).as("a large message alone").isTrue();
		assertThat(this.queues.post(proposal(1))).isFalse();
	}

}
