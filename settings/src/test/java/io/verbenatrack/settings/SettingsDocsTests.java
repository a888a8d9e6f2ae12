package io.verbenatrack.settings;

import java.io.IOException;
import java.nio.file.Files;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the operator documentation lists every key.
 */
public class SettingsDocsTests {

	@Test
	public void everyLimitAndTimeoutIsDocumented() throws IOException {
		String page = page("settings.md");
		LimitSettingsReader.KEYS.forEach((key) -> assertThat(page).contains("| `" + key + "` |"));
		TimeoutSettingsReader.KEYS.forEach((key) -> assertThat(page).contains("| `" + key + "` |"));
	}

	@Test
	public void everyDefaultIsDocumented() throws IOException {
		String page = page("declarations.md");
		DefaultsReader.KEYS.forEach((key) -> assertThat(page).contains("| `" + key + "` |"));
	}

	private static String page(String name) throws IOException {
		return Files.readString(Examples.folder().resolveSibling("docs/operations").resolve(name));
	}

}
