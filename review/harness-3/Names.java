import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names of the platform, which names.properties lists. */
final class Names {

	private static final Properties NAMES = load();

	private Names() {
	}

	private static Properties load() {
		Properties names = new Properties();
		try (InputStream input = Names.class.getResourceAsStream("/names.properties")) {
			names.load(input);
			return names;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static String of(String name) {
		String found = NAMES.getProperty(name);
		if (found == null) {
			throw new IllegalArgumentException("names.properties lacks " + name);
		}
		return found;
	}

}
