package io.verbenatrack.routing;

import java.util.Map;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.TargetId;

/**
 * A report of an instance to the others on its use of the slots of a target, sent every
 * {@code SlotAllocator.REPORT_INTERVAL_MILLIS} while there is something to report.
 *
 * @param from the reporting instance
 * @param target the target
 * @param sequence a number that increases with each report of the instance
 * @param wanted the number of further slots that the instance could use now
 * @param lent the number of own slots that the instance lends, by borrower
 * @param held the number of borrowed slots that the instance may use or still uses, by
 * lender
 * @param acknowledged the last sequence received, by sender
 */
public record SlotUse(InstanceId from, TargetId target, long sequence, int wanted, Map<InstanceId, Integer> lent,
		Map<InstanceId, Integer> held, Map<InstanceId, Long> acknowledged) {

	public SlotUse {
		lent = Map.copyOf(lent);
		held = Map.copyOf(held);
		acknowledged = Map.copyOf(acknowledged);
	}

}
