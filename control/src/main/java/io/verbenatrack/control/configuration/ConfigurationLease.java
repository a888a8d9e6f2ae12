package io.verbenatrack.control.configuration;

import java.time.Duration;
import java.util.Optional;

import com.google.protobuf.ByteString;

import io.verbenatrack.model.HeldTime;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;
import io.verbenatrack.model.Revision;
import io.verbenatrack.protocol.control.ConfigurationReply;

/**
 * The configuration that an instance uses and the expiry of its lease.
 *
 * <p>
 * This class does no I/O; {@link ConfigurationLeaseRenewer} sends the renewal requests.
 * It is thread-safe.
 */
public final class ConfigurationLease {

	private final LeaseClock clock;

	private final Listener listener;

	private volatile LeaseState state = new LeaseState("", Revision.NONE, ByteString.EMPTY, new HeldTime(0), false,
			false);

	/**
	 * Creates a lease that has not been granted yet.
	 * @param clock the clock for the lease
	 * @param listener receives each new configuration before work is admitted under it
	 */
	public ConfigurationLease(LeaseClock clock, Listener listener) {
		this.clock = clock;
		this.listener = listener;
	}

	/**
	 * Returns whether new work may be admitted.
	 * @return whether the lease is valid now
	 */
	public boolean mayAdmit() {
		LeaseState current = this.state;
		return current.granted() && !current.historyLost() && this.clock.held().isBefore(current.end());
	}

	/**
	 * Returns why no work is admitted, for {@code /readyz} and refusals.
	 * @return the problem, or empty if work may be admitted
	 */
	public Optional<Problem> admissionProblem() {
		if (mayAdmit()) {
			return Optional.empty();
		}
		LeaseState current = this.state;
		if (current.historyLost()) {
			return Optional.of(new Problem(ProblemKind.UNAVAILABLE,
					"The leader's configuration is older than " + describe(current.revision()) + ", held here.",
					"Find out which history was lost, then restart this instance."));
		}
		return Optional.of(new Problem(ProblemKind.UNAVAILABLE,
				"The configuration lease on " + describe(current.revision()) + " has run out; nothing was run.",
				"Send it again; check that this instance reaches a majority of the replicas."));
	}

	private static String describe(Revision revision) {
		return "revision " + revision.number() + " of epoch " + revision.epoch();
	}

	/**
	 * Returns the cluster that granted the lease.
	 * @return the cluster id, empty before the first grant
	 */
	public String cluster() {
		return this.state.cluster();
	}

	/**
	 * Returns the revision in use.
	 * @return the latest revision this instance has held
	 */
	public Revision revision() {
		return this.state.revision();
	}

	/**
	 * Returns the declarations in use.
	 * @return the encoded declarations
	 */
	public ByteString declarations() {
		return this.state.declarations();
	}

	/**
	 * Processes a reply to a lease request. A reply with a lower revision has no effect.
	 * @param reply the reply
	 * @param requested when the request was sent
	 * @return whether the lease was renewed
	 */
	public synchronized boolean renew(ConfigurationReply reply, HeldTime requested) {
		LeaseState current = this.state;
		Revision revision = new Revision(reply.getEpoch(), reply.getRevision());
		if (reply.getOutcome() == ConfigurationReply.Outcome.POSITION_LOST) {
			this.state = current.withHistoryLost();
			return false;
		}
		if (reply.getOutcome() != ConfigurationReply.Outcome.GRANTED || revision.compareTo(current.revision()) < 0) {
			return false;
		}
		if (reply.getUnchanged() && !revision.equals(current.revision())) {
			return false;
		}
		ByteString declarations = reply.getUnchanged() ? current.declarations() : reply.getDeclarations();
		HeldTime end = requested.plus(Duration.ofMillis(reply.getLeaseMillis()));
		if (revision.compareTo(current.revision()) > 0) {
			this.listener.changed(revision, declarations);
		}
		boolean extended = !current.granted() || current.end().isBefore(end);
		this.state = new LeaseState(reply.getCluster(), revision, declarations, extended ? end : current.end(), true,
				false);
		return true;
	}

	/**
	 * Receives each new configuration.
	 */
	public interface Listener {

		/**
		 * Called when a new configuration takes effect on this instance.
		 * @param revision its revision
		 * @param declarations the encoded declarations
		 */
		void changed(Revision revision, ByteString declarations);

	}

	private record LeaseState(String cluster, Revision revision, ByteString declarations, HeldTime end, boolean granted,
			boolean historyLost) {

		private LeaseState withHistoryLost() {
			return new LeaseState(this.cluster, this.revision, this.declarations, this.end, this.granted, true);
		}

	}

}
