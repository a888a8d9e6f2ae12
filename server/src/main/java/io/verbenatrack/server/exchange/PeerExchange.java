package io.verbenatrack.server.exchange;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import io.grpc.ManagedChannel;
import io.grpc.stub.StreamObserver;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.protocol.entry.EntryServiceGrpc;
import io.verbenatrack.protocol.entry.TargetsReceipt;
import io.verbenatrack.protocol.entry.TargetsUpdate;
import io.verbenatrack.routing.SlotUse;
import io.verbenatrack.routing.TargetDelta;
import io.verbenatrack.routing.VersionedTargetDirectory;
import io.verbenatrack.server.peer.PeerChannels;
import io.verbenatrack.settings.PeerSettings;
import io.verbenatrack.state.RecordCodec;

/**
 * Tells the other instances what changed of targets and slots, and notices which are up.
 *
 * <p>
 * Each peer has a position in this instance's changes, which moves on only when the peer
 * confirmed; a lost update is therefore sent again with the next. An update without
 * changes is sent once a second, so that a peer that is up is always heard of.
 */
public final class PeerExchange {

	private static final Duration INTERVAL = Duration.ofMillis(200);

	private static final Duration TIMEOUT = Duration.ofMillis(800);

	private static final Duration QUIET = Duration.ofSeconds(1);

	private static final Duration UP = Duration.ofSeconds(3);

	private final InstanceId self;

	private final VersionedTargetDirectory directory;

	private final SlotUseTable slots;

	private final Consumer<SlotUse> slotUses;

	private final Consumer<List<InstanceId>> instances;

	private final PeerChannels channels;

	private final RecordCodec codec;

	private final MonotonicClock clock;

	private final TreeMap<InstanceId, PeerPosition> positions = new TreeMap<>();

	private List<InstanceId> up = List.of();

	/**
	 * Creates the exchange.
	 * @param self this instance
	 * @param directory what it knows of targets
	 * @param slots what it has to tell of slots
	 * @param slotUses hears what others tell of slots
	 * @param instances hears which instances are up, this one included
	 * @param channels connections to the others
	 * @param codec encodes changes
	 * @param clock reads the time
	 */
	public PeerExchange(InstanceId self, VersionedTargetDirectory directory, SlotUseTable slots,
			Consumer<SlotUse> slotUses, Consumer<List<InstanceId>> instances, PeerChannels channels, RecordCodec codec,
			MonotonicClock clock) {
		this.self = self;
		this.directory = directory;
		this.slots = slots;
		this.slotUses = slotUses;
		this.instances = instances;
		this.channels = channels;
		this.codec = codec;
		this.clock = clock;
	}

	/**
	 * Starts to send.
	 * @param timer runs the sending
	 */
	public void start(ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::sendAll, 0, INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	private synchronized void sendAll() {
		long now = this.clock.nanoTime();
		this.directory.removeExpired(now);
		for (PeerSettings peer : this.channels.peers()) {
			PeerPosition position = this.positions.computeIfAbsent(peer.instance(), (id) -> new PeerPosition(now));
			if (!position.sending) {
				send(peer.instance(), position, now);
			}
		}
		tellWhoIsUp(now);
	}

	private void send(InstanceId peer, PeerPosition position, long now) {
		long revision = this.directory.revision();
		List<TargetDelta> changes = this.directory.changesSince(position.confirmed, now);
		if (changes.isEmpty() && now - position.sentNanos < QUIET.toNanos()) {
			return;
		}
		TargetsUpdate.Builder update = TargetsUpdate.newBuilder().setInstance(this.self.value());
		changes.forEach((change) -> update.addDeltas(ByteString.copyFrom(this.codec.encode(change))));
		this.slots.all().forEach((use) -> update.addSlotUses(ByteString.copyFrom(this.codec.encode(use))));
		position.sending = true;
		position.sentNanos = now;
		ManagedChannel channel = this.channels.channel(peer).orElseThrow();
		EntryServiceGrpc.newStub(channel)
			.withDeadlineAfter(TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.updateTargets(update.build(), new UpdateObserver(peer, revision, channel));
	}

	private void tellWhoIsUp(long now) {
		Set<InstanceId> present = new TreeSet<>(Set.of(this.self));
		this.positions.forEach((peer, position) -> {
			if (now - position.heardNanos < UP.toNanos()) {
				present.add(peer);
			}
		});
		if (!this.up.equals(List.copyOf(present))) {
			this.up = List.copyOf(present);
			this.instances.accept(this.up);
		}
	}

	/**
	 * Takes what another instance knows.
	 * @param update its changes
	 */
	public void receive(TargetsUpdate update) {
		long now = this.clock.nanoTime();
		for (ByteString delta : update.getDeltasList()) {
			this.directory.merge(this.codec.decode(delta.toByteArray(), TargetDelta.class), now);
		}
		for (ByteString use : update.getSlotUsesList()) {
			this.slotUses.accept(this.codec.decode(use.toByteArray(), SlotUse.class));
		}
		heard(new InstanceId(update.getInstance()), now);
	}

	private synchronized void heard(InstanceId peer, long now) {
		this.positions.computeIfAbsent(peer, (id) -> new PeerPosition(now)).heardNanos = now;
	}

	private synchronized void confirmed(InstanceId peer, long revision) {
		PeerPosition position = this.positions.get(peer);
		position.confirmed = revision;
		position.heardNanos = this.clock.nanoTime();
	}

	private synchronized void ended(InstanceId peer) {
		this.positions.get(peer).sending = false;
	}

	private static final class PeerPosition {

		private long confirmed;

		private long heardNanos;

		private long sentNanos;

		private boolean sending;

		private PeerPosition(long now) {
			this.heardNanos = now;
			this.sentNanos = now - QUIET.toNanos();
		}

	}

	private final class UpdateObserver implements StreamObserver<TargetsReceipt> {

		private final InstanceId peer;

		private final long revision;

		private final ManagedChannel channel;

		private UpdateObserver(InstanceId peer, long revision, ManagedChannel channel) {
			this.peer = peer;
			this.revision = revision;
			this.channel = channel;
		}

		@Override
		public void onNext(TargetsReceipt receipt) {
			confirmed(this.peer, this.revision);
		}

		@Override
		public void onError(Throwable failure) {
			PeerExchange.this.channels.replaceIfSilent(this.peer, this.channel, failure);
			ended(this.peer);
		}

		@Override
		public void onCompleted() {
			ended(this.peer);
		}

	}

}
