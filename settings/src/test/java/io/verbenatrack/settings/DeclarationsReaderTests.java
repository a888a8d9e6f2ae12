package io.verbenatrack.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.RackId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link DeclarationsReader}, {@link DeclarationsJson} and
 * {@link DeclarationsDiff}.
 */
public class DeclarationsReaderTests {

	private static final String ACCOUNT = "accounts:\n  - {id: a, guarantees: [{accelerators: 2}]}\n";

	private static final String EXCEPTION = "exceptions:\n  - {name: e, account: a, setting: lease-duration, "
			+ "value: 20s, reason: the rack is slow}\n";

	@Test
	public void readsTheExamplesAndTheirJson() {
		for (String example : new String[] { "hamid", "visina" }) {
			Declarations read = example(example);
			assertThat(read.accounts()).hasSize(4);
			String json = DeclarationsJson.write(read);
			assertThat(Examples.value(DeclarationsJson.read(json.getBytes(StandardCharsets.UTF_8)))).isEqualTo(read);
		}
	}

	@Test
	public void anExceptionOverridesOnlyItsSettingUntilItExpires() {
		Declarations declarations = example("hamid");
		Instant expiry = Instant.parse("2027-06-30T00:00:00Z");
		RackId rack = new RackId("rack-4");
		assertThat(EffectiveDefaults.forRack(declarations, rack, expiry.minusMillis(1)).quarantineAfterFailures())
			.isEqualTo(2);
		assertThat(EffectiveDefaults.forRack(declarations, rack, expiry)).isEqualTo(declarations.defaults());
		assertThat(EffectiveDefaults.forAccount(declarations, new AccountId("van-routes"), expiry).checkpointGrace())
			.isEqualTo(Duration.ofSeconds(2));
		assertThat(EffectiveDefaults.forAccount(declarations, new AccountId("kitchen-loads"), expiry))
			.isEqualTo(declarations.defaults());
	}

	@DataProvider
	public Object[][] invalidDeclarations() {
		return new Object[][] { { ACCOUNT + EXCEPTION.replace("the rack is slow", "''"), "'exceptions[0].reason'" },
				{ ACCOUNT + EXCEPTION.replace(", reason: the rack is slow", ""), "'exceptions[0].reason' is missing" },
				{ ACCOUNT + EXCEPTION.replace("account: a", "account: b"), "'exceptions[0].account' has 'b'" },
				{ ACCOUNT + EXCEPTION.replace("account: a", "account: a, rack: r"), "are both given" },
				{ ACCOUNT + EXCEPTION.replace("lease-duration", "lease-durration"), "has 'lease-durration'" },
				{ ACCOUNT + EXCEPTION.replace("20s", "20"), "'exceptions[0].value' has '20'" },
				{ ACCOUNT + EXCEPTION.replace("name: e", "name: e, expires: soon"), "expires' has 'soon'" },
				{ ACCOUNT + EXCEPTION + EXCEPTION.lines().skip(1).findFirst().orElseThrow(), "has 'e'" },
				{ ACCOUNT + EXCEPTION
						+ EXCEPTION.lines().skip(1).findFirst().orElseThrow().replace("name: e", "name: f"),
						"which another exception overrides" },
				{ ACCOUNT.replace("accelerators: 2", "accelerators: 65"), "guarantees[0].accelerators' has '65'" },
				{ ACCOUNT.replace("id: a", "id: 'a b'"), "'accounts[0].id' is not valid." },
				{ ACCOUNT + ACCOUNT.lines().skip(1).findFirst().orElseThrow(), "'accounts[1].id' has 'a', as in" },
				{ "defaults: {completion-time-weight: 1.1}\n", "'defaults.completion-time-weight' has '1.1'" },
				{ "defaults: {backfill: yes}\n", "'defaults.backfill' has 'yes'" } };
	}

	@Test(dataProvider = "invalidDeclarations")
	public void reportsLocation(String text, String message) throws IOException {
		Path folder = folder(text);
		assertThat(Examples.problem(DeclarationsReader.read(folder)).message()).startsWith(folder + "/d.yaml:")
			.contains(message);
	}

	@Test
	public void acceptsTheUnmodifiedDeclarations() throws IOException {
		assertThat(Examples.value(DeclarationsReader.read(folder(ACCOUNT + EXCEPTION))).exceptions()).hasSize(1);
	}

	@Test
	public void refusesAFolderWithoutFiles() throws IOException {
		Path folder = Files.createTempDirectory("declarations");
		assertThat(Examples.problem(DeclarationsReader.read(folder)).message()).contains("holds no file");
		assertThat(Examples.problem(DeclarationsReader.read(folder.resolve("x"))).message()).contains("no such folder");
	}

	@Test
	public void reportsBothFilesOfADuplicateAccount() throws IOException {
		Path folder = folder(ACCOUNT);
		Files.writeString(folder.resolve("e.yaml"), ACCOUNT);
		assertThat(Examples.problem(DeclarationsReader.read(folder)).message()).startsWith(folder + "/e.yaml:2:")
			.contains("as in " + folder + "/d.yaml:2.");
	}

	@Test
	public void suggestsJsonKeysInCamelCase() {
		byte[] json = "{\"defaults\":{\"checkpointGraze\":\"1s\"}}".getBytes(StandardCharsets.UTF_8);
		assertThat(Examples.problem(DeclarationsJson.read(json)).remedy()).contains("'checkpointGrace'");
	}

	@Test
	public void aDiffListsEachChangedValue() throws IOException {
		Declarations before = Examples.value(DeclarationsReader.read(folder(ACCOUNT)));
		Declarations after = Examples
			.value(DeclarationsReader.read(folder(ACCOUNT.replace("id: a", "id: a, weight: 3") + EXCEPTION)));
		assertThat(DeclarationsDiff.between(before, before).changes()).isEmpty();
		assertThat(DeclarationsDiff.between(before, after).changes()).extracting(DeclarationsDiff.Change::key)
			.containsExactly("weight", "exception e");
		assertThat(DeclarationsDiff.between(after, Declarations.EMPTY).changes()).extracting((change) -> change.key())
			.contains("account", "guarantees", "exception e");
	}

	private static Declarations example(String name) {
		return Examples.value(DeclarationsReader.read(Examples.folder().resolve(name).resolve("declarations")));
	}

	private static Path folder(String text) throws IOException {
		Path folder = Files.createTempDirectory("declarations");
		Files.writeString(folder.resolve("d.yaml"), text);
		return folder;
	}

}
