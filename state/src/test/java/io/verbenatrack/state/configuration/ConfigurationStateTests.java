package io.verbenatrack.state.configuration;

import org.testng.annotations.Test;

import io.verbenatrack.model.ChangeId;
import io.verbenatrack.model.Revision;
import io.verbenatrack.protocol.configuration.ConfigurationCommand;
import io.verbenatrack.protocol.configuration.ConfigurationSnapshot;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalStateException;

/**
 * Tests for {@link ConfigurationState}.
 */
public class ConfigurationStateTests {

	private final ConfigurationState state = new ConfigurationState();

	private static ChangeResult change(ConfigurationState state, String id, String operator, long expected,
			String declarations) {
		ChangeId change = new ChangeId(id);
		byte[] command = ConfigurationCodec.change(change, operator, expected, declarations.getBytes());
		return ConfigurationCodec.result(change, state.apply(command));
	}

	@Test
	public void ofTwoChangesWithTheSameExpectedRevisionTheFirstWins() {
		ConfigurationState fresh = new ConfigurationState();
		assertThat(change(fresh, "a", "hamid", 0, "one")).isEqualTo(new ChangeResult.Accepted(new Revision(1, 1)));
		assertThat(change(fresh, "b", "visina", 0, "two")).isInstanceOfSatisfying(ChangeResult.Lost.class, (lost) -> {
			assertThat(lost.winner()).contains(new ChangeId("a"));
			assertThat(lost.operator()).isEqualTo("hamid");
			assertThat(lost.revision()).isEqualTo(new Revision(1, 1));
		});
		assertThat(fresh.inForce().declarations().toStringUtf8()).isEqualTo("one");
	}

	@Test
	public void resendGetsTheFirstResultAlsoAfterLaterChangesAndARestore() {
		ConfigurationState fresh = new ConfigurationState();
		ChangeResult accepted = change(fresh, "a", "hamid", 0, "one");
		ChangeResult lost = change(fresh, "b", "visina", 0, "two");
		change(fresh, "c", "hamid", 1, "three");
		ConfigurationState restored = new ConfigurationState();
		restored.restore(fresh.snapshot());
		assertThat(change(restored, "a", "hamid", 0, "one")).isEqualTo(accepted);
		assertThat(change(restored, "b", "visina", 0, "two")).isEqualTo(lost);
		assertThat(restored.inForce()).isEqualTo(fresh.inForce());
		assertThat(restored.inForce().revision()).isEqualTo(new Revision(1, 2));
	}

	@Test
	public void changeIdUsedForAnotherChangeIsRefused() {
		ConfigurationState fresh = new ConfigurationState();
		change(fresh, "a", "hamid", 0, "one");
		assertThat(change(fresh, "a", "hamid", 1, "two")).isInstanceOf(ChangeResult.DifferentChange.class);
		assertThat(fresh.inForce().revision().number()).isEqualTo(1);
	}

	@Test
	public void raisedEpochIsKeptAndNeverLowered() {
		ConfigurationState fresh = new ConfigurationState();
		change(fresh, "a", "hamid", 0, "one");
		fresh.raiseEpoch(3);
		fresh.raiseEpoch(2);
		assertThat(fresh.inForce().revision()).isEqualTo(new Revision(3, 1));
		assertThat(change(fresh, "b", "hamid", 1, "two")).isEqualTo(new ChangeResult.Accepted(new Revision(3, 2)));
	}

	@Test
	public void forgetsOnlyTheOldestChanges() {
		ConfigurationState fresh = new ConfigurationState();
		for (int i = 0; i <= ConfigurationState.MAXIMUM_REMEMBERED; i++) {
			change(fresh, "c" + i, "hamid", i, "d");
		}
		assertThat(change(fresh, "c1", "hamid", 1, "d")).isEqualTo(new ChangeResult.Accepted(new Revision(1, 2)));
		assertThat(change(fresh, "c0", "hamid", 0, "d")).isInstanceOf(ChangeResult.Lost.class);
	}

	@Test
	public void newerFormatsAreRefusedByName() {
		byte[] command = ConfigurationCommand.newBuilder().setFormat(2).build().toByteArray();
		byte[] snapshot = ConfigurationSnapshot.newBuilder().setFormat(9).build().toByteArray();
		assertThatIllegalStateException().isThrownBy(() -> this.state.apply(command))
			.withMessageContaining("configuration command has format 2")
			.withMessageContaining("Start the newer release");
		assertThatIllegalStateException().isThrownBy(() -> this.state.restore(snapshot))
			.withMessageContaining("configuration snapshot has format 9");
	}

}
