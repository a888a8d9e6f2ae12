package io.verbenatrack.bench.control;

import java.time.Duration;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * Simulated network that can drop, duplicate and reorder messages, and block either
 * direction of a replica's links.
 */
final class SimulatedNetwork {

	private static final long JITTER_NANOS = 300_000;

	private static final long REORDER_NANOS = 40_000_000;

	private final VirtualClock clock;

	private final RandomGenerator random;

	private final Set<String> blockedSenders = new TreeSet<>();

	private final Set<String> blockedReceivers = new TreeSet<>();

	private long latencyNanos = Duration.ofMillis(1).toNanos();

	private double loss;

	private double duplication;

	private boolean reorder;

	private final Map<String, SentTraffic> sent = new TreeMap<>();

	SimulatedNetwork(VirtualClock clock, RandomGenerator random) {
		this.clock = clock;
		this.random = random;
	}

	void send(ReplicaMember to, ReplicaMessage message, Consumer<ReplicaMessage> receiver) {
		String sender = message.getFrom().substring(0, message.getFrom().indexOf('/'));
		this.sent.merge(sender, new SentTraffic(1, message.getSerializedSize()), SentTraffic::plus);
		int copies = (this.random.nextDouble() < this.duplication) ? 2 : 1;
		for (int i = 0; i < copies; i++) {
			if (this.random.nextDouble() < this.loss) {
				continue;
			}
			this.clock.schedule(delay(), () -> {
				if (!this.blockedSenders.contains(sender) && !this.blockedReceivers.contains(to.getInstance())) {
					receiver.accept(message);
				}
			});
		}
	}

	private long delay() {
		long extra = this.reorder ? this.random.nextLong(REORDER_NANOS) : this.random.nextLong(JITTER_NANOS);
		return this.latencyNanos + extra;
	}

	void blockOutbound(ReplicaId replica, boolean blocked) {
		toggle(this.blockedSenders, replica, blocked);
	}

	void blockInbound(ReplicaId replica, boolean blocked) {
		toggle(this.blockedReceivers, replica, blocked);
	}

	private static void toggle(Set<String> set, ReplicaId replica, boolean add) {
		if (add) {
			set.add(replica.instance().value());
		}
		else {
			set.remove(replica.instance().value());
		}
	}

	void loss(double rate) {
		this.loss = rate;
	}

	void duplication(double rate) {
		this.duplication = rate;
	}

	void reorder(boolean on) {
		this.reorder = on;
	}

	void heal() {
		this.blockedSenders.clear();
		this.blockedReceivers.clear();
		this.loss = 0;
		this.duplication = 0;
		this.reorder = false;
	}

	void latency(Duration oneWay) {
		this.latencyNanos = oneWay.toNanos();
	}

	/**
	 * Returns the number of bytes that some replicas have sent.
	 * @param frameBytes the framing bytes to add for each message
	 * @param senders selects replicas by their instance id
	 * @return the number of bytes
	 */
	long sentBytes(int frameBytes, Predicate<String> senders) {
		return this.sent.entrySet()
			.stream()
			.filter((entry) -> senders.test(entry.getKey()))
			.mapToLong((entry) -> entry.getValue().bytes() + entry.getValue().messages() * frameBytes)
			.sum();
	}

	private record SentTraffic(long messages, long bytes) {

		private SentTraffic plus(SentTraffic more) {
			return new SentTraffic(this.messages + more.messages, this.bytes + more.bytes);
		}

	}

}
