package io.verbenatrack.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that docs/CAPACITY.md names only what exists.
 */
public class CapacityPageTests {

	private static final Pattern CODE = Pattern.compile("`([^`\n]+)`");

	private static final String CLASS = "[A-Z]\\w*[a-z]\\w*";

	private static final String VARIABLE = "[A-Z_]+";

	private static final Path ROOT = Path.of("").toAbsolutePath().getParent();

	private static final Path PAGE = ROOT.resolve("docs/CAPACITY.md");

	@Test
	public void everyClassOfThePageExists() throws IOException {
		Set<String> named = named().stream().filter((name) -> name.matches(CLASS)).collect(Collectors.toSet());
		assertThat(named).isNotEmpty();
		assertThat(classes()).containsAll(named);
	}

	@Test
	public void everyCommandAndFileOfThePageExists() throws IOException {
		Set<String> named = named().stream().filter((name) -> !name.matches(CLASS)).collect(Collectors.toSet());
		assertThat(named).contains("tools/capacity");
		Set<String> variables = named.stream().filter((name) -> name.matches(VARIABLE)).collect(Collectors.toSet());
		assertThat(Files.readString(ROOT.resolve("verbenatrack"))).contains(variables);
		named.removeAll(variables);
		// The run writes this file.
		named.remove("docs/capacity-figures.json");
		assertThat(named).allSatisfy((name) -> assertThat(ROOT.resolve(name)).exists());
		assertThat(ROOT.resolve("tools/capacity")).isExecutable();
	}

	@Test
	public void everyMechanismOfTheBudgetsExists() throws IOException {
		Set<String> mechanisms = Budgets.of(List.of()).stream().map(BudgetLine::mechanism).collect(Collectors.toSet());
		assertThat(classes()).containsAll(mechanisms);
	}

	@Test
	public void thePageTakesBothTables() throws IOException {
		String page = Files.readString(PAGE);
		assertThat(PageTables.replace(page, "measured", "new\n")).contains("<!-- begin measured -->\nnew\n<!-- end");
		assertThat(PageTables.replace(page, "budgets", "new\n")).contains("<!-- begin budgets -->\nnew\n<!-- end");
	}

	private static Set<String> named() throws IOException {
		return CODE.matcher(Files.readString(PAGE))
			.results()
			.map((MatchResult match) -> match.group(1))
			.collect(Collectors.toSet());
	}

	private static Set<String> classes() throws IOException {
		try (Stream<Path> files = Files.walk(ROOT)) {
			return files.map(Path::toString)
				.filter((file) -> file.contains("/src/main/java/") && file.endsWith(".java"))
				.map((file) -> file.substring(file.lastIndexOf('/') + 1, file.length() - ".java".length()))
				.collect(Collectors.toSet());
		}
	}

}
