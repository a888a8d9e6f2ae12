package secondreview;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, doubles and booleans. */
final class Json {

	private final String text;

	private int position;

	private Json(String text) {
		this.text = text;
	}

	static Object read(String text) {
		return new Json(text).value();
	}

	@SuppressWarnings("unchecked")
	static Map<String, Object> object(String text) {
		return (Map<String, Object>) read(text);
	}

	@SuppressWarnings("unchecked")
	static List<List<Object>> rows(Map<String, Object> object, String field) {
		Object rows = object.get(field);
		return (rows != null) ? (List<List<Object>>) rows : List.of();
	}

	static long number(Map<String, Object> object, String field, long otherwise) {
		Object value = object.get(field);
		return (value instanceof Double number) ? number.longValue() : otherwise;
	}

	static String quote(String text) {
		return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
	}

	private char next() {
		while (Character.isWhitespace(this.text.charAt(this.position))) {
			this.position++;
		}
		return this.text.charAt(this.position);
	}

	private Object value() {
		char first = next();
		if (first == '{') {
			Map<String, Object> object = new LinkedHashMap<>();
			this.position++;
			while (next() != '}') {
				String name = string();
				next();
				this.position++;
				object.put(name, value());
				if (next() == ',') {
					this.position++;
				}
			}
			this.position++;
			return object;
		}
		if (first == '[') {
			List<Object> list = new ArrayList<>();
			this.position++;
			while (next() != ']') {
				list.add(value());
				if (next() == ',') {
					this.position++;
				}
			}
			this.position++;
			return list;
		}
		if (first == '"') {
			return string();
		}
		int start = this.position;
		while (this.position < this.text.length() && ",]} \n\r\t".indexOf(this.text.charAt(this.position)) < 0) {
			this.position++;
		}
		String word = this.text.substring(start, this.position);
		return switch (word) {
			case "true" -> true;
			case "false" -> false;
			case "null" -> null;
			default -> Double.valueOf(word);
		};
	}

	private String string() {
		next();
		StringBuilder string = new StringBuilder();
		this.position++;
		while (this.text.charAt(this.position) != '"') {
			char character = this.text.charAt(this.position++);
			if (character == '\\') {
				character = this.text.charAt(this.position++);
				if (character == 'n') {
					character = '\n';
				}
				else if (character == 'u') {
					character = (char) Integer.parseInt(this.text.substring(this.position, this.position + 4), 16);
					this.position += 4;
				}
			}
			string.append(character);
		}
		this.position++;
		return string.toString();
	}

}
