package io.verbenatrack.model;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.reflect.Array;
import java.nio.Buffer;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.NoSuchElementException;
import java.util.Optional;

/**
 * The boot-time clock of Linux, which is monotonic and counts suspensions of the machine.
 *
 * <p>
 * The JDK has no method that reads it, so {@code clock_gettime} of the C library is
 * called. The call goes through reflection because the foreign function interface is a
 * preview in release 21, for which this code is compiled.
 */
final class BootTimeClock implements MonotonicClock {

	/** {@code CLOCK_BOOTTIME} in the headers of Linux, on every architecture. */
	private static final int BOOT_TIME_CLOCK_ID = 7;

	/** The layout of {@code struct timespec} on 64-bit machines. */
	private static final int SECONDS_OFFSET = 0;

	private static final int NANOS_OFFSET = 8;

	private static final int TIMESPEC_BYTES = 16;

	private static final long NANOS_PER_SECOND = 1_000_000_000;

	private final ByteBuffer timespec;

	private final MethodHandle read;

	private BootTimeClock(ByteBuffer timespec, MethodHandle read) {
		this.timespec = timespec;
		this.read = read;
	}

	/**
	 * Opens the clock.
	 * @return the clock, or empty if this Java runtime or operating system has none
	 */
	static Optional<MonotonicClock> open() {
		if (!System.getProperty("os.name").equals("Linux")) {
			return Optional.empty();
		}
		try {
			ByteBuffer timespec = ByteBuffer.allocateDirect(TIMESPEC_BYTES).order(ByteOrder.nativeOrder());
			BootTimeClock clock = new BootTimeClock(timespec, bindClockGettime(timespec));
			clock.nanoTime();
			return Optional.of(clock);
		}
		catch (ReflectiveOperationException | NoSuchElementException | IllegalStateException
				| UnsupportedOperationException ex) {
			return Optional.empty();
		}
	}

	private static MethodHandle bindClockGettime(ByteBuffer timespec) throws ReflectiveOperationException {
		Class<?> linkerType = foreign("Linker");
		Class<?> descriptorType = foreign("FunctionDescriptor");
		Class<?> segmentType = foreign("MemorySegment");
		Class<?> valueLayouts = foreign("ValueLayout");
		Object linker = linkerType.getMethod("nativeLinker").invoke(null);
		Object library = linkerType.getMethod("defaultLookup").invoke(linker);
		Optional<?> function = (Optional<?>) foreign("SymbolLookup").getMethod("find", String.class)
			.invoke(library, "clock_gettime");
		Object parameters = Array.newInstance(foreign("MemoryLayout"), 2);
		Array.set(parameters, 0, valueLayouts.getField("JAVA_INT").get(null));
		Array.set(parameters, 1, valueLayouts.getField("ADDRESS").get(null));
		Object descriptor = descriptorType.getMethod("of", foreign("MemoryLayout"), parameters.getClass())
			.invoke(null, valueLayouts.getField("JAVA_INT").get(null), parameters);
		Object options = Array.newInstance(foreign("Linker$Option"), 0);
		MethodHandle call = (MethodHandle) linkerType
			.getMethod("downcallHandle", segmentType, descriptorType, options.getClass())
			.invoke(linker, function.orElseThrow(), descriptor, options);
		Object segment = segmentType.getMethod("ofBuffer", Buffer.class).invoke(null, timespec);
		return MethodHandles.insertArguments(call, 0, BOOT_TIME_CLOCK_ID, segment);
	}

	private static Class<?> foreign(String name) throws ClassNotFoundException {
		return Class.forName("java.lang.foreign." + name);
	}

	@Override
	public synchronized long nanoTime() {
		int status;
		try {
			status = (int) this.read.invokeExact();
		}
		catch (Throwable ex) {
			throw new IllegalStateException("The boot-time clock cannot be called.", ex);
		}
		if (status != 0) {
			throw new IllegalStateException(
					"The boot-time clock cannot be read. Run on a Linux kernel that has CLOCK_BOOTTIME.");
		}
		return this.timespec.getLong(SECONDS_OFFSET) * NANOS_PER_SECOND + this.timespec.getLong(NANOS_OFFSET);
	}

}
