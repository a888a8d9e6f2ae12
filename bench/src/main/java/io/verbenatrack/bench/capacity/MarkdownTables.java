package io.verbenatrack.bench.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Replaces the generated tables of a Markdown page, which are delimited by comment
 * markers.
 */
final class MarkdownTables {

	private MarkdownTables() {
	}

	static void write(Path page, CapacityReport report) throws IOException {
		String text = replace(Files.readString(page), "measured", report.measuredTable());
		Files.writeString(page, replace(text, "budgets", report.budgetTable()));
	}

	static String replace(String page, String name, String table) {
		String begin = "<!-- begin " + name + " -->\n";
		String end = "<!-- end " + name + " -->";
		int from = page.indexOf(begin);
		int to = page.indexOf(end);
		if (from < 0 || to < from) {
			throw new IllegalArgumentException("The page has no markers for the table " + name + ". Add the lines "
					+ begin.strip() + " and " + end + ".");
		}
		return page.substring(0, from) + begin + table + page.substring(to);
	}

}
