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

	private final ConfigurationState configuration = new ConfigurationState();

	private static ChangeResult change(ConfigurationState state, String id, String operator, long expected,
			String declarations) {
		ChangeId change = new ChangeId(id);
		byte[] command = ConfigurationCodec.change(change, operator, expected, declarations.getBytes());
		return ConfigurationCodec.result(change, state.apply(command));
	}

	@Test
	public void acceptsTheFirstOfTwoChangesWithTheSameExpectedRevision() {
		ConfigurationState state = new ConfigurationState();
		assertThat(change(state, "a", "hamid", 0, "one")).isEqualTo(new ChangeResult.Accepted(new Revision(1, 1)));
		assertThat(change(state, "b", "visina", 0, "two")).isInstanceOfSatisfying(ChangeResult.Lost.class, (lost) -> {
			assertThat(lost.winner()).contains(new ChangeId("a"));
			assertThat(lost.operator()).isEqualTo("hamid");
			assertThat(lost.revision()).isEqualTo(new Revision(1, 1));
		});
		assertThat(state.latest().declarations().toStringUtf8()).isEqualTo("one");
	}

	@Test
	public void retryGetsTheFirstResultEvenAfterLaterChangesAndARestore() {
		ConfigurationState state = new ConfigurationState();
		ChangeResult accepted = change(state, "a", "hamid", 0, "one");
		ChangeResult lost = change(state, "b", "visina", 0, "two");
		change(state, "c", "hamid", 1, "three");
		ConfigurationState restored = new ConfigurationState();
		restored.restore(state.snapshot());
		assertThat(change(restored, "a", "hamid", 0, "one")).isEqualTo(accepted);
		assertThat(change(restored, "b", "visina", 0, "two")).isEqualTo(lost);
		assertThat(restored.latest()).isEqualTo(state.latest());
		assertThat(restored.latest().revision()).isEqualTo(new Revision(1, 2));
	}

	@Test
	public void changeIdReusedForAnotherChangeIsRejected() {
		ConfigurationState state = new ConfigurationState();
		change(state, "a", "hamid", 0, "one");
		assertThat(change(state, "a", "hamid", 1, "two")).isInstanceOf(ChangeResult.DifferentChange.class);
		assertThat(state.latest().revision().number()).isEqualTo(1);
	}

	@Test
	public void raisedEpochIsKeptAndNeverLowered() {
		ConfigurationState state = new ConfigurationState();
		change(state, "a", "hamid", 0, "one");
		state.raiseEpoch(3);
		state.raiseEpoch(2);
		assertThat(state.latest().revision()).isEqualTo(new Revision(3, 1));
		assertThat(change(state, "b", "hamid", 1, "two")).isEqualTo(new ChangeResult.Accepted(new Revision(3, 2)));
	}

	@Test
	public void discardsOnlyTheOldestResults() {
		ConfigurationState state = new ConfigurationState();
		for (int i = 0; i <= ConfigurationState.MAXIMUM_RETAINED_CHANGES; i++) {
			change(state, "c" + i, "hamid", i, "d");
		}
		assertThat(change(state, "c1", "hamid", 1, "d")).isEqualTo(new ChangeResult.Accepted(new Revision(1, 2)));
		assertThat(change(state, "c0", "hamid", 0, "d")).isInstanceOf(ChangeResult.Lost.class);
	}

	@Test
	public void newerFormatsAreRejectedByName() {
		byte[] command = ConfigurationCommand.newBuilder().setFormat(2).build().toByteArray();
		byte[] snapshot = ConfigurationSnapshot.newBuilder().setFormat(9).build().toByteArray();
		assertThatIllegalStateException().isThrownBy(() -> this.configuration.apply(command))
			.withMessageContaining("configuration command has format 2")
			.withMessageContaining("Start the newer release");
		assertThatIllegalStateException().isThrownBy(() -> this.configuration.restore(snapshot))
			.withMessageContaining("configuration snapshot has format 9");
	}

}
