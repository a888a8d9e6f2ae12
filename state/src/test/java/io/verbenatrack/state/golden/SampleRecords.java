package io.verbenatrack.state.golden;

import java.lang.reflect.Constructor;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Creates sample records with a different value in each component. The samples of a type
 * cover every permitted subtype of each sealed type, and every constant of each enum,
 * that the type refers to.
 */
public final class SampleRecords {

	private static final Instant INSTANT = Instant.parse("2026-01-02T03:04:05.006007008Z");

	private SampleRecords() {
	}

	/**
	 * Creates samples of a type.
	 * @param <T> the type
	 * @param type a record, a sealed interface of records or an enum
	 * @return the samples
	 */
	public static <T> List<T> of(Class<T> type) {
		return samples(type, 1).stream().map(type::cast).toList();
	}

	private static List<?> samples(Type type, int number) {
		if (type instanceof ParameterizedType generic) {
			return genericSamples(generic, number);
		}
		Class<?> rawType = (Class<?>) type;
		if (rawType.isEnum()) {
			return List.of(rawType.getEnumConstants());
		}
		if (rawType.isSealed()) {
			return List.of(rawType.getPermittedSubclasses())
				.stream()
				.flatMap((permitted) -> samples(permitted, number).stream())
				.toList();
		}
		return rawType.isRecord() ? recordSamples(rawType) : List.of(scalar(rawType, number));
	}

	private static List<?> genericSamples(ParameterizedType type, int number) {
		List<?> elements = samples(type.getActualTypeArguments()[0], number);
		if (type.getRawType() == Optional.class) {
			List<Object> optionals = new ArrayList<>(elements.stream().map(Optional::of).toList());
			optionals.add(Optional.empty());
			return optionals;
		}
		if (type.getRawType() == List.class) {
			return List.of(elements);
		}
		if (type.getRawType() == Set.class) {
			return List.of(Set.of(elements.getFirst()));
		}
		if (type.getRawType() == Map.class) {
			return List.of(Map.of(elements.getFirst(), samples(type.getActualTypeArguments()[1], number).getFirst()));
		}
		throw new IllegalArgumentException("There is no sample of " + type + ". Add one here.");
	}

	private static List<?> recordSamples(Class<?> type) {
		RecordComponent[] components = type.getRecordComponents();
		List<List<?>> values = new ArrayList<>();
		for (RecordComponent component : components) {
			values.add(samples(component.getGenericType(), values.size() + 1));
		}
		int count = values.stream().mapToInt(List::size).max().orElse(1);
		List<Object> records = new ArrayList<>();
		for (int sample = 0; sample < count; sample++) {
			int index = sample;
			records.add(create(type, values.stream().<Object>map((choice) -> choice.get(index % choice.size()))));
		}
		return records;
	}

	private static Object create(Class<?> type, Stream<Object> values) {
		try {
			Constructor<?> constructor = type.getDeclaredConstructors()[0];
			constructor.setAccessible(true);
			return constructor.newInstance(values.toArray());
		}
		catch (ReflectiveOperationException ex) {
			throw new IllegalArgumentException("There is no sample of " + type + ". Add one here.", ex);
		}
	}

	private static Object scalar(Class<?> type, int number) {
		if (type == int.class || type == Integer.class) {
			return number;
		}
		if (type == long.class || type == Long.class) {
			return (long) number;
		}
		if (type == double.class || type == Double.class) {
			return number + 0.5;
		}
		if (type == boolean.class) {
			return true;
		}
		if (type == String.class) {
			return "text-" + number;
		}
		if (type == byte[].class) {
			return new byte[] { (byte) number, 0 };
		}
		if (type == Duration.class) {
			return Duration.ofSeconds(number, number);
		}
		if (type == Instant.class) {
			return INSTANT.plusSeconds(number);
		}
		throw new IllegalArgumentException("There is no sample of " + type + ". Add one here.");
	}

}
