package io.verbenatrack.control.configuration;

import java.time.Duration;
import java.util.Optional;

import com.google.protobuf.ByteString;

import io.verbenatrack.control.ReplicatedLog;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.Revision;
import io.verbenatrack.protocol.control.ConfigurationReply;
import io.verbenatrack.protocol.control.ConfigurationRequest;

/**
 * Grants instances short leases on the current configuration.
 *
 * <p>
 * Only a leader with a valid leader lease grants configuration leases. Once a change is
 * accepted, no lease on an earlier revision is granted, and the leases granted before
 * expire within the lease duration.
 */
public final class ConfigurationAuthority {

	private final ReplicatedLog log;

	private final Source source;

	private final Duration lease;

	/**
	 * Creates an authority.
	 * @param log the log of this replica
	 * @param source supplies the configuration applied by this replica
	 * @param lease how long an instance may use a configuration, counted from when it
	 * requested the lease
	 */
	public ConfigurationAuthority(ReplicatedLog log, Source source, Duration lease) {
		this.log = log;
		this.source = source;
		this.lease = lease;
	}

	/**
	 * Handles a lease request.
	 * @param request the request, with the revision that the instance holds
	 * @return a lease, the leader that may grant one, or the outcome that the position of
	 * the instance was lost
	 */
	public ConfigurationReply answer(ConfigurationRequest request) {
		if (!this.log.leads()) {
			return notLeader();
		}
		Applied current = this.source.current();
		if (!this.log.leads()) {
			return notLeader();
		}
		Revision known = new Revision(request.getEpoch(), request.getRevision());
		ConfigurationReply.Builder reply = ConfigurationReply.newBuilder()
			.setEpoch(current.revision().epoch())
			.setRevision(current.revision().number())
			.setCluster(current.cluster())
			.setLeaseMillis((int) this.lease.toMillis());
		if (known.compareTo(current.revision()) > 0 || hasDivergentHistory(request, current)) {
			return reply.setOutcome(ConfigurationReply.Outcome.POSITION_LOST).build();
		}
		reply.setOutcome(ConfigurationReply.Outcome.GRANTED);
		boolean unchanged = known.equals(current.revision());
		return reply.setUnchanged(unchanged)
			.setDeclarations(unchanged ? ByteString.EMPTY : current.declarations())
			.build();
	}

	// The cluster id changes only in a recovery, which also raises the epoch.
	private static boolean hasDivergentHistory(ConfigurationRequest request, Applied current) {
		boolean sameCluster = request.getCluster().isEmpty() || request.getCluster().equals(current.cluster());
		return !sameCluster && request.getEpoch() >= current.revision().epoch();
	}

	private ConfigurationReply notLeader() {
		Optional<InstanceId> leader = this.log.leader();
		return ConfigurationReply.newBuilder()
			.setOutcome(ConfigurationReply.Outcome.NOT_LEADER)
			.setLeader(leader.map(InstanceId::value).orElse(""))
			.build();
	}

	/**
	 * Supplies the configuration applied by this replica.
	 */
	public interface Source {

		/**
		 * Returns the latest accepted configuration.
		 * @return the configuration
		 */
		Applied current();

	}

	/**
	 * A configuration at one revision.
	 *
	 * @param cluster the cluster whose log contains it
	 * @param revision its revision
	 * @param declarations the encoded declarations
	 */
	public record Applied(String cluster, Revision revision, ByteString declarations) {

	}

}
