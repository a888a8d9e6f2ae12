package io.verbenatrack.cli;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Formats JSON for people: objects as lines, and arrays of objects as tables.
 */
final class JsonFormatter {

	private JsonFormatter() {
	}

	/**
	 * Formats a value.
	 * @param node the value
	 * @return the formatted lines, each terminated by a line feed
	 */
	static String of(JsonNode node) {
		StringBuilder text = new StringBuilder();
		if (isTable(node)) {
			appendTable(text, node);
		}
		else if (node.isObject()) {
			appendObject(text, node, "");
		}
		else {
			text.append(inline(node).strip()).append('\n');
		}
		return text.toString();
	}

	private static void appendObject(StringBuilder text, JsonNode object, String path) {
		object.properties().forEach((property) -> {
			String name = path + property.getKey();
			JsonNode value = property.getValue();
			if (isTable(value)) {
				text.append(name).append(":\n");
				appendTable(text, value);
			}
			else if (value.isObject()) {
				appendObject(text, value, name + ".");
			}
			else {
				text.append(name).append(": ").append(inline(value)).append('\n');
			}
		});
	}

	private static boolean isTable(JsonNode node) {
		return node.isArray() && !node.isEmpty() && node.get(0).isObject();
	}

	private static void appendTable(StringBuilder text, JsonNode array) {
		List<Map<String, String>> rows = new ArrayList<>();
		Set<String> columns = new LinkedHashSet<>();
		array.forEach((item) -> {
			Map<String, String> row = new LinkedHashMap<>();
			flatten(row, item, "");
			columns.addAll(row.keySet());
			rows.add(row);
		});
		Map<String, Integer> widths = new LinkedHashMap<>();
		columns.forEach((column) -> widths.put(column, width(column, rows)));
		List<String> header = new ArrayList<>();
		columns.forEach((column) -> header.add(pad(column, widths.get(column))));
		appendLine(text, header);
		for (Map<String, String> row : rows) {
			List<String> cells = new ArrayList<>();
			columns.forEach((column) -> cells.add(pad(row.getOrDefault(column, ""), widths.get(column))));
			appendLine(text, cells);
		}
	}

	private static void flatten(Map<String, String> row, JsonNode item, String path) {
		if (!item.isObject()) {
			row.put(path.isEmpty() ? "value" : path, inline(item));
			return;
		}
		item.properties()
			.forEach((property) -> flatten(row, property.getValue(),
					path.isEmpty() ? property.getKey() : path + "." + property.getKey()));
	}

	private static int width(String column, List<Map<String, String>> rows) {
		return rows.stream()
			.mapToInt((row) -> row.getOrDefault(column, "").length())
			.reduce(column.length(), Math::max);
	}

	private static void appendLine(StringBuilder text, List<String> cells) {
		text.append("  ").append(String.join("  ", cells).stripTrailing()).append('\n');
	}

	private static String pad(String text, int width) {
		return text + " ".repeat(width - text.length());
	}

	private static String inline(JsonNode node) {
		if (node.isNull()) {
			return "-";
		}
		return node.isValueNode() ? node.asText() : node.toString();
	}

}
