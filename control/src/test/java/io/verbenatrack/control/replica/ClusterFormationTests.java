package io.verbenatrack.control.replica;

import java.time.Duration;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ClusterFormation} with several replicas: in each course of events that
 * a deployment allows, one cluster is formed and no second one.
 */
public class ClusterFormationTests {

	/** Longer than a replica waits before it forms a cluster. */
	private static final Duration LONG = Duration.ofSeconds(12);

	private static final Duration SHORT = Duration.ofSeconds(2);

	private static ReplicaGroup formedByThree() {
		ReplicaGroup group = new ReplicaGroup(3);
		group.bootstrap("a", "b", "c");
		group.run(SHORT);
		assertThat(group.voters()).containsExactly("a/1", "b/1", "c/1");
		return group;
	}

	private static ReplicaGroup formedByThreeAndJoinedByTwo() {
		ReplicaGroup group = new ReplicaGroup(5);
		group.bootstrap("a", "b", "c");
		group.run(SHORT);
		group.start("d", "a", "b", "c");
		group.start("e", "a", "b", "c");
		group.run(LONG);
		assertThat(group.voters()).containsExactly("a/1", "b/1", "c/1", "d/1", "e/1");
		return group;
	}

	@Test
	public void initialMembersFormOneCluster() {
		ReplicaGroup group = formedByThree();
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
	}

	// Guards against a system that never serves because it was killed before its log
	// existed.
	@Test
	public void initialMembersKilledBeforeFormationFormOneCluster() {
		ReplicaGroup group = new ReplicaGroup(3);
		group.bootstrap("a", "b", "c");
		group.kill("a", "b", "c");
		group.start("a", "a", "b", "c");
		group.start("b", "a", "b", "c");
		group.start("c", "a", "b", "c");
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
		assertThat(group.voters()).containsExactly("a/1", "b/1", "c/1");
	}

	// Guards against two leaders side by side: new machines that are cut off from the
	// cluster, and whose exchanged seeds name only one another.
	@Test
	public void newMachinesThatNameOnlyOneAnotherFormNoSecondCluster() {
		ReplicaGroup group = formedByThree();
		group.cut("def", "abc");
		for (String name : new String[] { "d", "e", "f" }) {
			group.start(name, "a", "b", "c");
		}
		group.run(SHORT);
		group.kill("d", "e", "f");
		for (String name : new String[] { "d", "e", "f" }) {
			group.start(name, "d", "e", "f");
		}
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
		group.heal();
		group.kill("d", "e", "f");
		for (String name : new String[] { "d", "e", "f" }) {
			group.start(name, "a", "e", "f");
		}
		group.run(LONG);
		assertThat(group.clusterOf("d")).isEqualTo(group.clusterOf("a"));
		assertThat(group.clusterOf("e")).isEqualTo(group.clusterOf("a"));
		assertThat(group.clusterOf("f")).isEqualTo(group.clusterOf("a"));
	}

	// Guards against the same where only the first of the new machines has exchanged
	// seeds that name two others, and each of these names it.
	@Test
	public void newMachinesWithDifferentSeedsFormNoSecondCluster() {
		ReplicaGroup group = formedByThree();
		group.cut("def", "abc");
		group.start("d", "a", "b", "c");
		group.start("e", "a", "b", "d");
		group.start("f", "b", "d", "e");
		group.run(SHORT);
		group.kill("d");
		group.start("d", "d", "e", "f");
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
	}

	// Guards against a machine that forms a cluster of its own, since the list of
	// machines was short when its settings were written.
	@Test
	public void newMachineThatIsItsOnlySeedFormsNoSecondCluster() {
		ReplicaGroup group = formedByThree();
		group.cut("d", "abc");
		group.start("d", "a", "b", "c");
		group.run(SHORT);
		group.kill("d");
		group.start("d", "d");
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
	}

	// Guards against an initial member with a lost disk that counts others which lost
	// theirs at other times, and which have joined again since.
	@Test
	public void initialMembersThatLoseTheirDisksInTurnFormNoSecondCluster() {
		ReplicaGroup group = formedByThreeAndJoinedByTwo();
		group.cut("ab", "cde");
		group.wipe("a");
		group.wipe("b");
		group.start("a", "a", "b", "c");
		group.start("b", "a", "b", "c");
		group.run(SHORT);
		group.restore("b", "cde");
		group.run(LONG);
		assertThat(group.clusterOf("b")).isEqualTo(group.clusterOf("d"));
		group.cut("c", "bde");
		group.restore("c", "a");
		group.wipe("c");
		group.start("c", "a", "b", "c");
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
		group.heal();
		group.run(LONG);
		assertThat(group.clusterOf("a")).isEqualTo(group.clusterOf("d"));
	}

	// Guards against a second cluster after a loss of power with two disks lost, while
	// the other machines stay without power.
	@Test
	public void initialMembersWithLostDisksWaitForTheOthers() {
		ReplicaGroup group = formedByThreeAndJoinedByTwo();
		group.kill("a", "b", "c", "d", "e");
		group.wipe("a");
		group.wipe("b");
		group.start("a", "a", "b", "c");
		group.start("b", "a", "b", "c");
		group.start("c", "a", "b", "c");
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
		group.start("d", "a", "b", "c");
		group.start("e", "a", "b", "c");
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
		assertThat(group.voters()).containsExactly("a/2", "b/2", "c/1", "d/1", "e/1");
	}

	// Guards against a machine with a lost disk that is cut off and whose exchanged seeds
	// name it and two others.
	@Test
	public void replacementWithLostDiskWaitsForTheCluster() {
		ReplicaGroup group = formedByThree();
		String[][] replacements = { { "d", "a" }, { "e", "b" }, { "f", "c" } };
		for (String[] replacement : replacements) {
			group.start(replacement[0], "a", "b", "c");
			group.run(SHORT);
			group.kill(replacement[1]);
			group.run(LONG);
			if (replacement[0].equals("d")) {
				group.kill("d");
				group.start("d", "d", "b", "c");
			}
		}
		assertThat(group.voters()).containsExactly("d/1", "e/1", "f/1");
		group.wipe("d");
		group.cut("d", "ef");
		group.start("d", "d", "e", "f");
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
		group.heal();
		group.run(LONG);
		assertThat(group.voters()).containsExactly("d/2", "e/1", "f/1");
	}

	// Guards against two clusters when the first initial member is frozen at its first
	// start, and the others are killed and started again with exchanged seeds.
	@Test
	public void frozenFirstMemberFormsNoClusterBesideTheOthers() {
		ReplicaGroup group = new ReplicaGroup(3);
		group.cut("c", "a");
		group.bootstrap("a", "b", "c");
		group.run(SHORT);
		group.freeze("a");
		group.heal();
		group.kill("b", "c");
		group.start("d", "a", "b", "c");
		group.run(SHORT);
		group.kill("d");
		for (String name : new String[] { "b", "c", "d" }) {
			group.start(name, "b", "c", "d");
		}
		group.run(LONG);
		group.thaw("a");
		group.kill("b", "c");
		group.start("b", "a", "b", "c");
		group.start("c", "a", "b", "c");
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
	}

	// Guards against a machine that was replaced while it was away and forms a cluster
	// with the others that were.
	@Test
	public void initialMembersThatWereReplacedFormNoSecondCluster() {
		ReplicaGroup group = formedByThree();
		group.start("d", "a", "b", "c");
		group.run(SHORT);
		group.kill("a");
		group.run(LONG);
		group.cut("a", "bcd");
		group.wipe("a");
		group.start("a", "a", "b", "c");
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
		assertThat(group.voters()).containsExactly("b/1", "c/1", "d/1");
	}

	// Guards against reloaded seeds that let new machines form a cluster beside the
	// first, and
	// against new machines that need a restart to join.
	@Test
	public void reloadedSeedsServeToJoinOnly() {
		ReplicaGroup group = formedByThree();
		group.cut("def", "abc");
		for (String name : new String[] { "d", "e", "f" }) {
			group.start(name, "g", "h", "i");
			group.reload(name, "d", "e", "f");
		}
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
		group.heal();
		for (String name : new String[] { "d", "e", "f" }) {
			group.reload(name, "a", "e", "f");
		}
		group.run(LONG);
		assertThat(group.formed()).hasSize(1);
		assertThat(group.clusterOf("d")).isEqualTo(group.clusterOf("a"));
		assertThat(group.clusterOf("e")).isEqualTo(group.clusterOf("a"));
		assertThat(group.clusterOf("f")).isEqualTo(group.clusterOf("a"));
	}

}
