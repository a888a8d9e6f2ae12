package io.verbenatrack.routing;

import java.util.HashMap;
import java.util.Map;

import org.testng.annotations.Test;

import io.verbenatrack.model.AccountId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link FairQueue}.
 */
public class FairQueueTests {

	private static final AccountId LARGE = new AccountId("large");

	private static final AccountId SMALL = new AccountId("small");

	@Test
	public void servesByWeightUnderFlood() {
		FairQueue<String> queue = new FairQueue<>((account) -> account.equals(LARGE) ? 3 : 1);
		for (int i = 0; i < 1000; i++) {
			queue.add(SMALL, "small-" + i);
		}
		for (int i = 0; i < 100; i++) {
			queue.add(LARGE, "large-" + i);
		}
		Map<String, Integer> served = new HashMap<>();
		for (int i = 0; i < 100; i++) {
			served.merge(queue.poll().orElseThrow().substring(0, 5), 1, Integer::sum);
		}
		assertThat(served.get("large")).isBetween(74, 76);
	}

	@Test
	public void idleAccountAccumulatesNoCredit() {
		FairQueue<String> queue = new FairQueue<>((account) -> 1);
		for (int i = 0; i < 100; i++) {
			queue.add(SMALL, "s" + i);
			queue.poll();
		}
		for (int i = 0; i < 10; i++) {
			queue.add(LARGE, "large" + i);
			queue.add(SMALL, "small" + i);
		}
		int large = 0;
		for (int i = 0; i < 10; i++) {
			large += queue.poll().orElseThrow().startsWith("large") ? 1 : 0;
		}
		assertThat(large).isBetween(4, 6);
	}

	@Test
	public void costlierEntriesAreServedLessOften() {
		FairQueue<String> queue = new FairQueue<>((account) -> 1);
		for (int i = 0; i < 100; i++) {
			queue.add(LARGE, "large" + i);
			queue.add(SMALL, "small" + i);
		}
		queue.setCost(LARGE, 4);
		int large = 0;
		for (int i = 0; i < 50; i++) {
			large += queue.poll().orElseThrow().startsWith("large") ? 1 : 0;
		}
		assertThat(large).isBetween(9, 11);
	}

	@Test
	public void removedEntriesAreNotServed() {
		FairQueue<String> queue = new FairQueue<>((account) -> 1);
		queue.add(SMALL, "s");
		assertThat(queue.remove(SMALL, "s")).isTrue();
		assertThat(queue.remove(SMALL, "s")).isFalse();
		assertThat(queue.poll()).isEmpty();
		assertThat(queue.size()).isZero();
	}

}
