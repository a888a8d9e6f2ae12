package io.verbenatrack.bench.capacity;

import java.io.IOException;

/**
 * Records the memory use of processes.
 */
final class MemoryProbe {

	private static final String UNIT = "MB";

	private MemoryProbe() {
	}

	static void record(MeasurementCollector collector, String name, String sizeUnit, int size, long pid)
			throws IOException {
		ProcessUsage.Memory memory = ProcessUsage.memory(pid);
		collector.add(name + ": resident", UNIT, sizeUnit, size, memory.resident());
		collector.add(name + ": private", UNIT, sizeUnit, size, memory.privatePages());
		collector.add(name + ": not backed by files", UNIT, sizeUnit, size, memory.anonymous());
	}

}
