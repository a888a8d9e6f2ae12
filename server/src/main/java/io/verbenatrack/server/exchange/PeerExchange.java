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
 * Propagates changes of targets and slot use to the other instances and detects which
 * instances are live.
 *
 * <p>
 * For each peer this instance stores the last directory revision that the peer has
 * acknowledged and sends the changes since then, so the next update repeats the changes
 * of a lost one. An update without changes is sent once a second as a heartbeat.
 */
public final class PeerExchange {

	private static final Duration SEND_INTERVAL = Duration.ofMillis(200);

	private static final Duration UPDATE_TIMEOUT = Duration.ofMillis(800);

	private static final Duration HEARTBEAT_INTERVAL = Duration.ofSeconds(1);

	private static final Duration LIVENESS_TIMEOUT = Duration.ofSeconds(3);

	private final InstanceId self;

	private final VersionedTargetDirectory directory;

	private final SlotUseTable slots;

	private final Consumer<SlotUse> slotUseListener;

	private final Consumer<List<InstanceId>> liveInstancesListener;

	private final PeerChannels channels;

	private final RecordCodec codec;

	private final MonotonicClock clock;

	private final TreeMap<InstanceId, PeerProgress> progressByPeer = new TreeMap<>();

	private List<InstanceId> liveInstances = List.of();

	/**
	 * Creates the exchange.
	 * @param self this instance
	 * @param directory the targets known to this instance
	 * @param slots the slot use that this instance reports
	 * @param slotUseListener receives the slot use reported by other instances
	 * @param liveInstancesListener receives the live instances, this one included, when
	 * they change
	 * @param channels the channels to the other instances
	 * @param codec encodes changes
	 * @param clock measures intervals
	 */
	public PeerExchange(InstanceId self, VersionedTargetDirectory directory, SlotUseTable slots,
			Consumer<SlotUse> slotUseListener, Consumer<List<InstanceId>> liveInstancesListener, PeerChannels channels,
			RecordCodec codec, MonotonicClock clock) {
		this.self = self;
		this.directory = directory;
		this.slots = slots;
		this.slotUseListener = slotUseListener;
		this.liveInstancesListener = liveInstancesListener;
		this.channels = channels;
		this.codec = codec;
		this.clock = clock;
	}

	/**
	 * Starts sending updates.
	 * @param timer schedules the updates
	 */
	public void start(ScheduledExecutorService timer) {
		timer.scheduleWithFixedDelay(this::sendAll, 0, SEND_INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
	}

	private synchronized void sendAll() {
		long now = this.clock.nanoTime();
		this.directory.removeExpired(now);
		for (PeerSettings peer : this.channels.peers()) {
			PeerProgress progress = this.progressByPeer.computeIfAbsent(peer.instance(), (id) -> new PeerProgress(now));
			if (!progress.sending) {
				send(peer.instance(), progress, now);
			}
		}
		updateLiveInstances(now);
	}

	private void send(InstanceId peer, PeerProgress progress, long now) {
		long revision = this.directory.revision();
		List<TargetDelta> changes = this.directory.changesSince(progress.acknowledgedRevision, now);
		if (changes.isEmpty() && now - progress.sentNanos < HEARTBEAT_INTERVAL.toNanos()) {
			return;
		}
		TargetsUpdate.Builder update = TargetsUpdate.newBuilder().setInstance(this.self.value());
		changes.forEach((change) -> update.addDeltas(ByteString.copyFrom(this.codec.encode(change))));
		this.slots.all().forEach((use) -> update.addSlotUses(ByteString.copyFrom(this.codec.encode(use))));
		progress.sending = true;
		progress.sentNanos = now;
		ManagedChannel channel = this.channels.channel(peer).orElseThrow();
		EntryServiceGrpc.newStub(channel)
			.withDeadlineAfter(UPDATE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
			.updateTargets(update.build(), new UpdateObserver(peer, revision, channel));
	}

	private void updateLiveInstances(long now) {
		Set<InstanceId> live = new TreeSet<>(Set.of(this.self));
		this.progressByPeer.forEach((peer, progress) -> {
			if (now - progress.lastContactNanos < LIVENESS_TIMEOUT.toNanos()) {
				live.add(peer);
			}
		});
		if (!this.liveInstances.equals(List.copyOf(live))) {
			this.liveInstances = List.copyOf(live);
			this.liveInstancesListener.accept(this.liveInstances);
		}
	}

	/**
	 * Merges an update from another instance.
	 * @param update the changes of that instance
	 */
	public void receive(TargetsUpdate update) {
		long now = this.clock.nanoTime();
		for (ByteString delta : update.getDeltasList()) {
			this.directory.merge(this.codec.decode(delta.toByteArray(), TargetDelta.class), now);
		}
		for (ByteString use : update.getSlotUsesList()) {
			this.slotUseListener.accept(this.codec.decode(use.toByteArray(), SlotUse.class));
		}
		recordContact(new InstanceId(update.getInstance()), now);
	}

	private synchronized void recordContact(InstanceId peer, long now) {
		this.progressByPeer.computeIfAbsent(peer, (id) -> new PeerProgress(now)).lastContactNanos = now;
	}

	private synchronized void acknowledged(InstanceId peer, long revision) {
		PeerProgress progress = this.progressByPeer.get(peer);
		progress.acknowledgedRevision = revision;
		progress.lastContactNanos = this.clock.nanoTime();
	}

	private synchronized void sendCompleted(InstanceId peer) {
		this.progressByPeer.get(peer).sending = false;
	}

	private static final class PeerProgress {

		private long acknowledgedRevision;

		private long lastContactNanos;

		private long sentNanos;

		private boolean sending;

		private PeerProgress(long now) {
			this.lastContactNanos = now;
			this.sentNanos = now - HEARTBEAT_INTERVAL.toNanos();
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
			acknowledged(this.peer, this.revision);
		}

		@Override
		public void onError(Throwable failure) {
			PeerExchange.this.channels.replaceIfTimedOut(this.peer, this.channel, failure);
			sendCompleted(this.peer);
		}

		@Override
		public void onCompleted() {
			sendCompleted(this.peer);
		}

	}

}
