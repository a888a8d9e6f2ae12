package io.verbenatrack.routing;

import java.util.ArrayList;
import java.util.List;

import io.verbenatrack.model.AttemptId;
import io.verbenatrack.model.RequestId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;

/**
 * The targets of a simulated run, which record the requests that they ran.
 */
final class SimulatedTargets implements TargetDirectory {

	static final ServiceId SERVICE = new ServiceId("jalan");

	static final ZoneId ZONE = new ZoneId("shah-alam");

	private static final int CONNECTIONS = 64;

	private final List<TargetView> views = new ArrayList<>();

	private final List<Run> runs = new ArrayList<>();

	SimulatedTargets(int count, int slots) {
		for (int i = 0; i < count; i++) {
			TargetSpec spec = new TargetSpec(new TargetId("t-" + i), SERVICE, ZONE, "http://t-" + i, slots,
					CONNECTIONS);
			this.views.add(new TargetView(spec, TargetPhase.SERVING, 0, 0));
		}
	}

	@Override
	public List<TargetView> eligible(ServiceId service, long nowNanos) {
		return List.copyOf(this.views);
	}

	void remove(TargetId target) {
		this.views.removeIf((view) -> view.spec().id().equals(target));
	}

	void run(RequestId request, AttemptId attempt) {
		this.runs.add(new Run(request, attempt));
	}

	List<Run> runs() {
		return this.runs;
	}

	/**
	 * One run of a request on a target.
	 *
	 * @param request the request
	 * @param attempt the dispatch that started it
	 */
	record Run(RequestId request, AttemptId attempt) {

	}

}
