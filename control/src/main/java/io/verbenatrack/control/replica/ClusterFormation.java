package io.verbenatrack.control.replica;

import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.verbenatrack.control.ReplicaId;
import io.verbenatrack.model.GrantedTime;
import io.verbenatrack.protocol.control.Announcement;
import io.verbenatrack.protocol.control.LogEntry;
import io.verbenatrack.protocol.control.Membership;
import io.verbenatrack.protocol.control.ReplicaMember;
import io.verbenatrack.protocol.control.ReplicaMessage;

/**
 * Forms a cluster from replicas with empty disks.
 *
 * <p>
 * The initial member with the lowest instance name writes the first membership once every
 * other initial member has announced recently that its disk is empty and that it has
 * received the announcement of this incarnation. An initial member that loses its disk
 * later therefore cannot form a second cluster.
 *
 * <p>
 * Settings may change before a replica joins, until those of several new instances name
 * only one another. So only instances that were named at their first start take part: the
 * settings of an instance that is added later cannot name it yet then. Each of them
 * supports only the first of the initial members that it knows.
 *
 * <p>
 * A replica that no leader contacts any more, because it was replaced while it was away,
 * also announces itself, so that it rejoins as a learner.
 */
final class ClusterFormation {

	private static final long FIRST_TERM = 1;

	/**
	 * Long enough to hear from an existing cluster: its leader contacts each member ten
	 * times a second, even one that does not answer.
	 */
	private static final Duration FORMATION_DELAY = Duration.ofSeconds(5);

	/**
	 * Long enough for several elections. A replica that is still a member has been
	 * contacted by then.
	 */
	private static final Duration LEADER_CONTACT_TIMEOUT = Duration.ofSeconds(3);

	/**
	 * Several announcements. A member that has joined a cluster announces itself no more,
	 * or as a member of that cluster.
	 */
	private static final Duration READINESS_TIMEOUT = Duration.ofSeconds(2);

	private final ReplicaState state;

	private final Map<String, ReplicaMember> announcedMembers = new TreeMap<>();

	private final Map<String, ReplicaMember> readyMembers = new TreeMap<>();

	/** When each ready member announced itself last. */
	private final Map<String, Long> readyNanos = new TreeMap<>();

	/** Further instances to announce this replica to. */
	private List<ReplicaMember> seeds = List.of();

	private long lastAnnouncedNanos;

	private final GrantedTime started;

	private boolean existingClusterSeen;

	/** A replica of the existing cluster, which knows its leader. */
	private Optional<ReplicaMember> existingMember = Optional.empty();

	private boolean announced;

	private boolean forming;

	ClusterFormation(ReplicaState state) {
		this.state = state;
		this.started = state.grantedNow;
	}

	void tick() {
		if (this.state.role != ReplicaRole.UNFORMED) {
			if (lostLeaderContact() && announcementDue()) {
				announce();
			}
			return;
		}
		if (this.forming) {
			return;
		}
		formWhenReady();
		if (!this.forming && announcementDue()) {
			announce();
		}
	}

	private boolean lostLeaderContact() {
		return !this.state.role.leading() && this.state.role != ReplicaRole.FAULTED
				&& !this.state.grantedNow.isBefore(this.state.lastLeaderContact.plus(LEADER_CONTACT_TIMEOUT));
	}

	private boolean announcementDue() {
		long interval = this.state.configuration.timings().announcementInterval().toNanos();
		return !this.announced || this.state.nowNanos - this.lastAnnouncedNanos >= interval;
	}

	// The log may be empty or name replicas that have moved since; the settings may name
	// none that is left.
	private Collection<ReplicaMember> receivers() {
		Map<String, ReplicaMember> receivers = new TreeMap<>();
		this.existingMember.ifPresent((sender) -> receivers.put(sender.getInstance(), sender));
		this.state.configuration.initialMembers().forEach((member) -> receivers.put(member.getInstance(), member));
		this.seeds.forEach((member) -> receivers.put(member.getInstance(), member));
		this.state.membership().getVotersList().forEach((member) -> receivers.put(member.getInstance(), member));
		return receivers.values();
	}

	/**
	 * Sets the instances that the settings name now. They help to join a cluster, not to
	 * form one.
	 * @param changed the instances
	 */
	void useSeeds(List<ReplicaMember> changed) {
		this.seeds = changed;
	}

	private void announce() {
		this.announced = true;
		this.lastAnnouncedNanos = this.state.nowNanos;
		Announcement.Builder announcement = Announcement.newBuilder().setMember(this.state.configuration.self());
		supportedMember().ifPresent((member) -> announcement.addHeard(ReplicaId.of(member).text()));
		for (ReplicaMember receiver : receivers()) {
			if (!isSelf(receiver)) {
				ReplicaMember byName = receiver.toBuilder().clearIncarnation().build();
				this.state.send(byName, this.state.message(byName).setAnnouncement(announcement));
			}
		}
	}

	// The initial member that may form a cluster with this replica.
	private Optional<ReplicaMember> supportedMember() {
		boolean mayTakePart = this.state.role == ReplicaRole.UNFORMED && this.state.configuration.namedAtFirstStart();
		return mayTakePart ? Optional.ofNullable(this.announcedMembers.get(firstInitialMember())) : Optional.empty();
	}

	private String firstInitialMember() {
		return this.state.configuration.initialMembers()
			.stream()
			.map(ReplicaMember::getInstance)
			.sorted()
			.findFirst()
			.orElse("");
	}

	private boolean isSelf(ReplicaMember member) {
		return member.getInstance().equals(this.state.configuration.self().getInstance());
	}

	void handleAnnouncement(ReplicaMessage message) {
		if (this.state.role != ReplicaRole.UNFORMED || this.forming) {
			return;
		}
		if (!message.getCluster().isEmpty()) {
			handleExistingCluster(message);
			return;
		}
		ReplicaMember member = message.getAnnouncement().getMember();
		this.announcedMembers.put(member.getInstance(), member);
		this.readyMembers.remove(member.getInstance());
		if (message.getAnnouncement().getHeardList().contains(this.state.self.text())) {
			this.readyMembers.put(member.getInstance(), member);
			this.readyNanos.put(member.getInstance(), this.state.nowNanos);
		}
		formWhenReady();
	}

	private void formWhenReady() {
		boolean first = firstInitialMember().equals(this.state.configuration.self().getInstance());
		if (!first || !this.state.configuration.namedAtFirstStart() || !mayFormCluster()) {
			return;
		}
		if (this.state.configuration.initialMembers()
			.stream()
			.allMatch((member) -> isSelf(member) || isReady(member))) {
			form();
		}
	}

	private boolean isReady(ReplicaMember member) {
		return this.readyMembers.containsKey(member.getInstance())
				&& this.state.nowNanos - this.readyNanos.get(member.getInstance()) < READINESS_TIMEOUT.toNanos();
	}

	// Initial members that were killed before they formed a cluster look like ones that
	// lost their disks. If a cluster exists, its leader keeps contacting their earlier
	// incarnations.
	private boolean mayFormCluster() {
		return !this.existingClusterSeen && (this.state.configuration.membershipPolicy().mayFormCluster()
				|| !this.state.grantedNow.isBefore(this.started.plus(FORMATION_DELAY)));
	}

	/**
	 * Records that a cluster exists, and whom to ask there.
	 * @param message an announcement of one of its members, or a message to another
	 * incarnation of this replica
	 */
	void handleExistingCluster(ReplicaMessage message) {
		if (!message.getCluster().startsWith(this.state.configuration.clusterName() + "-")) {
			return;
		}
		this.existingClusterSeen = true;
		if (!message.getFromAddress().isEmpty()) {
			this.existingMember = Optional.of(ReplicaMember.newBuilder()
				.setInstance(ReplicaId.parse(message.getFrom()).instance().value())
				.setAddress(message.getFromAddress())
				.build());
		}
	}

	private void form() {
		Membership.Builder membership = Membership.newBuilder();
		for (ReplicaMember member : this.state.configuration.initialMembers()) {
			membership.addVoters(
					isSelf(member) ? this.state.configuration.self() : this.readyMembers.get(member.getInstance()));
		}
		String cluster = this.state.configuration.clusterName() + "-" + Long.toHexString(this.state.random.nextLong());
		this.forming = true;
		// The cluster id is written last, because a torn write must not leave a cluster
		// without members.
		this.state.append(LogEntry.newBuilder().setIndex(1).setTerm(FIRST_TERM).setMembership(membership).build());
		this.state.persistHardState(this.state.hardState.toBuilder().setCluster(cluster).setTerm(FIRST_TERM).build());
		this.state.trackDurableIndex();
		// The cluster must not be visible to others before it is durable here.
		this.state.effects.runWhenDurable(() -> {
			this.state.transition(RoleChange.FORMED);
			this.state.notifyListener(ReplicaNotice.FORMED, cluster);
		});
	}

	/**
	 * Returns whether this replica is writing the first membership.
	 * @return whether it must not join another cluster
	 */
	boolean forming() {
		return this.forming;
	}

	/**
	 * Joins the cluster of a leader that has sent a message to this incarnation.
	 * @param cluster the cluster id
	 */
	void join(String cluster) {
		this.state.transition(RoleChange.FORMED);
		this.state.persistHardState(this.state.hardState.toBuilder().setCluster(cluster).build());
		this.state.notifyListener(ReplicaNotice.JOINED, cluster);
	}

}
