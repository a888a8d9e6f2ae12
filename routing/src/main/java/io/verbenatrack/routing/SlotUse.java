package io.verbenatrack.routing;

import java.util.Map;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.TargetId;

/**
 * How an instance uses the slots of a target, sent to the others when it changes and
 * every {@code SlotShares.REPORT_INTERVAL}.
 *
 * @param from the instance
 * @param target the target
 * @param sequence counts up on each instance
 * @param wanted how many more slots it could use now
 * @param lent how many of its own slots it lends, by borrower
 * @param held how many slots it holds or uses, by lender
 * @param acknowledged the last sequence it heard, by lender
 */
public record SlotUse(InstanceId from, TargetId target, long sequence, int wanted, Map<InstanceId, Integer> lent,
		Map<InstanceId, Integer> held, Map<InstanceId, Long> acknowledged) {

	public SlotUse {
		lent = Map.copyOf(lent);
		held = Map.copyOf(held);
		acknowledged = Map.copyOf(acknowledged);
	}

}
