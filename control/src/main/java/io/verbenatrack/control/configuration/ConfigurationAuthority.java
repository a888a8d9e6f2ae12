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
 * Grants instances the right to act on the configuration in force for a short time.
 *
 * <p>
 * Only a leader that holds its lease grants. So once a change is accepted, nobody gets a
 * lease on an earlier one, and those granted before end within the lease.
 */
public final class ConfigurationAuthority {

	private final ReplicatedLog log;

	private final Source source;

	private final Duration lease;

	/**
	 * Creates an authority.
	 * @param log the log of this replica
	 * @param source the configuration as this replica applied it
	 * @param lease how long an instance may act on it, from when it asked
	 */
	public ConfigurationAuthority(ReplicatedLog log, Source source, Duration lease) {
		this.log = log;
		this.source = source;
		this.lease = lease;
	}

	/**
	 * Answers an instance.
	 * @param request what it holds
	 * @return a lease, or who may grant one
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

	// Only a recovery, which raises the epoch, goes on under another cluster id.
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
	 * Gives the configuration as this replica applied it.
	 */
	public interface Source {

		/**
		 * The latest accepted configuration.
		 * @return the configuration
		 */
		Applied current();

	}

	/**
	 * A configuration.
	 *
	 * @param cluster the cluster whose log holds it
	 * @param revision its revision
	 * @param declarations the encoded declarations
	 */
	public record Applied(String cluster, Revision revision, ByteString declarations) {

	}

}
