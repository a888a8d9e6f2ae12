package io.verbenatrack.control.link;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.grpc.Server;
import io.grpc.netty.shaded.io.grpc.netty.NettyServerBuilder;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import io.verbenatrack.control.ProposalOutcome;
import io.verbenatrack.control.ReplicaPeer;
import io.verbenatrack.control.ReplicaSettings;
import io.verbenatrack.control.configuration.ConfigurationAuthority;
import io.verbenatrack.control.configuration.ConfigurationLease;
import io.verbenatrack.control.configuration.ConfigurationLeaseRenewer;
import io.verbenatrack.control.configuration.GrpcConfigurationClient;
import io.verbenatrack.control.driver.AppendingStateMachine;
import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.LeaseClock;
import io.verbenatrack.model.MonotonicClock;
import io.verbenatrack.model.Revision;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

/**
 * Tests for {@link GrpcReplica}: three replicas on real disks that communicate over
 * loopback.
 */
public class GrpcReplicaTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(20);

	private static final int FIRST_PORT = 22_000;

	private static final int LAST_PORT = 32_000;

	private final List<ReplicaPeer> peers = new ArrayList<>();

	private final List<Path> folders = new ArrayList<>();

	private final List<Node> nodes = new ArrayList<>();

	@BeforeMethod
	void startReplicas() throws IOException {
		this.peers.clear();
		this.folders.clear();
		this.nodes.clear();
		for (int i = 0; i < 3; i++) {
			this.peers.add(new ReplicaPeer(new InstanceId("r" + i), "127.0.0.1", freePort()));
			this.folders.add(Files.createTempDirectory("replica" + i));
		}
		for (int i = 0; i < 3; i++) {
			this.nodes.add(Node.start(this.peers, i, this.folders.get(i)));
		}
	}

	@AfterMethod(alwaysRun = true)
	void stopAll() {
		this.nodes.forEach(Node::stop);
	}

	// Below the ports that the system gives to outgoing connections: a replica that
	// already
	// runs connects to the others and could take their ports.
	private static int freePort() {
		while (true) {
			int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
			try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
				return socket.getLocalPort();
			}
			catch (IOException ex) {
				// The port is in use; another one is drawn.
			}
		}
	}

	private Node leader() {
		await().atMost(TIMEOUT).until(() -> this.nodes.stream().anyMatch((node) -> node.replica.replica().leads()));
		return this.nodes.stream().filter((node) -> node.replica.replica().leads()).findFirst().orElseThrow();
	}

	private static ProposalOutcome propose(Node node, String command) throws Exception {
		return node.replica.replica().propose(command.getBytes(StandardCharsets.UTF_8)).get(20, TimeUnit.SECONDS);
	}

	@Test
	public void allReplicasApplyTheSameCommands() throws Exception {
		Node leader = leader();
		for (int i = 0; i < 20; i++) {
			assertThat(propose(leader, "c" + i)).isInstanceOf(ProposalOutcome.Committed.class);
		}
		await().atMost(TIMEOUT)
			.until(() -> this.nodes.stream().allMatch((node) -> node.machine.text().equals(leader.machine.text())));
	}

	@Test
	public void newLeaderKeepsCommittedEntriesAfterLeaderStops() throws Exception {
		Node first = leader();
		propose(first, "before");
		first.stop();
		this.nodes.remove(first);
		Node second = leader();
		propose(second, "after");
		assertThat(second.machine.text()).isEqualTo("before after ");
	}

	@Test
	public void replicaWithLostDiskIsReplacedByNewIncarnation() throws Exception {
		Node leader = leader();
		propose(leader, "before");
		int lost = (leader.index + 1) % 3;
		String old = this.nodes.get(lost).replica.replica().self().text();
		this.nodes.get(lost).stop();
		this.nodes.set(lost, Node.start(this.peers, lost, Files.createTempDirectory("replacement")));
		String replacement = this.nodes.get(lost).replica.replica().self().incarnation();
		await().atMost(TIMEOUT)
			.until(() -> leader.replica.replica()
				.status()
				.membership()
				.getVotersList()
				.stream()
				.anyMatch((voter) -> voter.getIncarnation().equals(replacement)));
		assertThat(this.nodes.get(lost).replica.replica().self().text()).isNotEqualTo(old);
		await().atMost(TIMEOUT).until(() -> this.nodes.get(lost).machine.text().equals("before "));
	}

	// Guards against a new incarnation that never votes again, since its replies do not
	// reach a leader that its settings do not name.
	@Test
	public void replicaWithEmptyDiskJoinsLeaderThatIsNoSeed() throws Exception {
		Node leader = leader();
		propose(leader, "before");
		ReplicaPeer seed = this.peers.get((leader.index + 1) % 3);
		ReplicaPeer newcomer = new ReplicaPeer(new InstanceId("r3"), "127.0.0.1", freePort());
		Node joining = Node.start(newcomer, List.of(seed), Files.createTempDirectory("replica3"));
		this.nodes.add(joining);
		await().atMost(TIMEOUT).until(() -> joining.machine.text().equals("before "));
	}

	// Guards against a replica that has to be started again to join, since the instances
	// that its settings named at its start are gone.
	@Test
	public void replicaJoinsThroughSeedThatIsNamedLater() throws Exception {
		Node leader = leader();
		propose(leader, "before");
		ReplicaPeer gone = new ReplicaPeer(new InstanceId("r4"), "127.0.0.1", freePort());
		ReplicaPeer newcomer = new ReplicaPeer(new InstanceId("r3"), "127.0.0.1", freePort());
		Node joining = Node.start(newcomer, List.of(gone), Files.createTempDirectory("replica3"));
		this.nodes.add(joining);
		joining.replica.replica().useSeeds(List.of(this.peers.get((leader.index + 1) % 3)));
		await().atMost(TIMEOUT).until(() -> joining.machine.text().equals("before "));
	}

	@Test
	public void instanceWithoutReplicaRenewsConfigurationLease() {
		ConfigurationLease lease = new ConfigurationLease(LeaseClock.exact(MonotonicClock.system()),
				(revision, declarations) -> {
				});
		assertThat(lease.mayAdmit()).isFalse();
		assertThat(lease.admissionProblem()).isPresent();
		try (ConfigurationLeaseRenewer renewal = new ConfigurationLeaseRenewer(new InstanceId("entry"), lease,
				this.peers, new GrpcConfigurationClient(Duration.ofMillis(300)),
				LeaseClock.exact(MonotonicClock.system()), Duration.ofMillis(500))) {
			renewal.start();
			await().atMost(TIMEOUT).until(lease::mayAdmit);
			assertThat(lease.revision()).isEqualTo(new Revision(1, 5));
		}
		this.nodes.forEach(Node::stop);
		await().atMost(TIMEOUT).until(() -> !lease.mayAdmit());
	}

	private static final class Node {

		private final int index;

		private final AppendingStateMachine machine = new AppendingStateMachine();

		private GrpcReplica replica;

		private Server server;

		private Node(int index) {
			this.index = index;
		}

		private static Node start(List<ReplicaPeer> peers, int index, Path folder) throws IOException {
			return start(new Node(index), peers.get(index), peers, folder);
		}

		private static Node start(ReplicaPeer self, List<ReplicaPeer> seeds, Path folder) throws IOException {
			return start(new Node(-1), self, seeds, folder);
		}

		private static Node start(Node node, ReplicaPeer self, List<ReplicaPeer> seeds, Path folder)
				throws IOException {
			ReplicaSettings settings = new ReplicaSettings("test", self, seeds, folder);
			node.replica = GrpcReplica.start(settings, node.machine,
					() -> new ConfigurationAuthority.Applied("", new Revision(1, 5), ByteString.EMPTY),
					(notice, detail) -> {
					}, LeaseClock.exact(MonotonicClock.system()));
			node.server = NettyServerBuilder.forAddress(new InetSocketAddress(self.host(), self.port()))
				.addService(node.replica.service())
				.build()
				.start();
			return node;
		}

		private void stop() {
			this.replica.close();
			this.server.shutdownNow();
		}

	}

}
