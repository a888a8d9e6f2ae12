import java.util.function.Consumer;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The bodies of the calls that hand jobs in. */
final class Jobs {

	private final ObjectNode job = new ObjectMapper().createObjectNode();

	private Jobs(String spec) {
		this.job.put("spec", spec);
		this.job.putArray("steps");
	}

	static Jobs job(String spec) {
		return new Jobs(spec);
	}

	/** Adds a step whose tasks take two cores and 1 GB each. */
	Jobs step(int count, long estimateMillis, Consumer<ObjectNode> more) {
		ObjectNode step = this.job.withArray("steps").addObject();
		step.put("count", count).put("cpu", 2000).put(Names.of("memory-mb"), 1024);
		step.put(Names.of("estimate-millis"), estimateMillis);
		more.accept(step);
		return this;
	}

	Jobs step(int count, long estimateMillis) {
		return step(count, estimateMillis, (step) -> {
		});
	}

	String body() {
		return this.job.toString();
	}

}
