package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** The names of the platform, which wire.properties lists. */
final class Wire {

	private static final Properties NAMES = load();

	static final String HEARTBEAT_ADDRESS = name("HEARTBEAT_ADDRESS");

	static final String LEASE_MILLIS = name("LEASE_MILLIS");

	static final String RECORDED_ENDS = name("RECORDED_ENDS");

	static final String RETRY_MILLIS = name("RETRY_MILLIS");

	static final String SEQUENCE_NUMBER = name("SEQUENCE_NUMBER");

	static final String MEMORY_MB = name("MEMORY_MB");

	static final String ESTIMATE_MILLIS = name("ESTIMATE_MILLIS");

	static final String MOST_ON_ONE_WORKER = name("MOST_ON_ONE_WORKER");

	static final String LASTING = name("LASTING");

	static final String PATH_PREFIX = name("PATH_PREFIX");

	static final String ATTEMPTS = name("ATTEMPTS");

	static final String LATENCY_MILLIS = name("LATENCY_MILLIS");

	static final String OPEN = name("OPEN");

	static final String KEYS = name("KEYS");

	static final String ENFORCES_CAPACITY = name("ENFORCES_CAPACITY");

	static final String INSTANCE_NAME = name("INSTANCE_NAME");

	static final String MACHINE_CLASS = name("MACHINE_CLASS");

	static final String INTERNAL_PORTS = name("INTERNAL_PORTS");

	static final String DATA_FOLDER = name("DATA_FOLDER");

	static final String SETTINGS_VARIABLE = name("SETTINGS_VARIABLE");

	static final String KEY_HEADER = name("KEY_HEADER");

	static final String DEADLINE_HEADER = name("DEADLINE_HEADER");

	static final String INSTANCES_PATH = name("INSTANCES_PATH");

	static final String CONFIGURATION_PATH = name("CONFIGURATION_PATH");

	static final String READINESS_PATH = name("READINESS_PATH");

	private Wire() {
	}

	private static Properties load() {
		Properties names = new Properties();
		try (InputStream input = Wire.class.getResourceAsStream("/wire.properties")) {
			names.load(input);
			return names;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String name(String key) {
		return NAMES.getProperty(key);
	}

}
