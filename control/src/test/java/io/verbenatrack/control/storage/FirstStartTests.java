package io.verbenatrack.control.storage;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link FirstStart}.
 */
public class FirstStartTests {

	private Path folder;

	@BeforeMethod
	void createFolder() throws IOException {
		this.folder = Files.createTempDirectory("first-start");
	}

	@Test
	public void instanceNamedLaterWasNotNamed() throws IOException {
		assertThat(FirstStart.named(this.folder, false)).isFalse();
		assertThat(FirstStart.named(this.folder, true)).isFalse();
	}

	@Test
	public void instanceNamedAtFirstStartStaysNamed() throws IOException {
		assertThat(FirstStart.named(this.folder, true)).isTrue();
		assertThat(FirstStart.named(this.folder, false)).isTrue();
	}

	@Test
	public void damagedRecordIsRejected() throws IOException {
		Files.writeString(this.folder.resolve("first-start"), "name");
		assertThatThrownBy(() -> FirstStart.named(this.folder, true)).isInstanceOf(StorageException.class)
			.hasMessageContaining("is damaged");
	}

}
