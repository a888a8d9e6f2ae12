package io.verbenatrack.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.testng.annotations.Test;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link SlotAllocator}.
 */
public class SlotAllocatorTests {

	private static final TargetSpec TARGET = new TargetSpec(new TargetId("t"), new ServiceId("s"), new ZoneId("z"),
			"http://t", 8, 64);

	private static final List<InstanceId> ALL = List.of(new InstanceId("a"), new InstanceId("b"), new InstanceId("c"));

	@Test
	public void idleSlotsAreLentAndRecalled() {
		List<SlotAllocator> allocators = allocators();
		int own = allocators.get(0).capacity(TARGET, 0);
		exchangeReports(allocators, new int[] { own, 0, 0 }, new int[] { 8, 0, 0 }, 0);
		exchangeReports(allocators, new int[] { own, 0, 0 }, new int[] { 8, 0, 0 }, 1);
		assertThat(allocators.get(0).capacity(TARGET, 1)).isEqualTo(8);
		exchangeReports(allocators, new int[] { 8, 0, 0 }, new int[] { 8, 1, 1 }, 2);
		assertThat(allocators.get(0).capacity(TARGET, 2)).isEqualTo(own);
		assertThat(allocators.get(1).capacity(TARGET, 2))
			.as("capacity of a lender while the borrower still uses its slots")
			.isZero();
		exchangeReports(allocators, new int[] { own, 0, 0 }, new int[] { 0, 1, 1 }, 3);
		exchangeReports(allocators, new int[] { own, 0, 0 }, new int[] { 0, 1, 1 }, 4);
		assertThat(sum(allocators, 4)).isEqualTo(8);
	}

	@Test
	public void loanEndsWithoutReportsOfItsOwner() {
		List<SlotAllocator> allocators = allocators();
		int own = allocators.get(0).capacity(TARGET, 0);
		exchangeReports(allocators, new int[] { own, 0, 0 }, new int[] { 8, 0, 0 }, 0);
		exchangeReports(allocators, new int[] { own, 0, 0 }, new int[] { 8, 0, 0 }, 1);
		assertThat(allocators.get(0).capacity(TARGET, 2_000_000_000L)).isEqualTo(own);
	}

	@Test
	public void instancesTogetherNeverExceedTheSlots() {
		for (int seed = 0; seed < 200; seed++) {
			SplittableRandom random = new SplittableRandom(seed);
			List<SlotAllocator> allocators = allocators();
			int[] inFlight = new int[3];
			List<SlotUse> undelivered = new ArrayList<>();
			for (int round = 0; round < 100; round++) {
				int[] wanted = random.ints(3, 0, 5).toArray();
				for (int i = 0; i < 3; i++) {
					int capacity = allocators.get(i).capacity(TARGET, round);
					inFlight[i] = Math.max(0, inFlight[i] - random.nextInt(3));
					inFlight[i] = Math.max(inFlight[i], Math.min(capacity, inFlight[i] + wanted[i]));
				}
				assertThat(inFlight[0] + inFlight[1] + inFlight[2]).as("seed " + seed).isLessThanOrEqualTo(8);
				for (int i = 0; i < 3; i++) {
					allocators.get(i).report(TARGET, inFlight[i], wanted[i], round).ifPresent(undelivered::add);
				}
				deliverSome(allocators, undelivered, random, round);
			}
		}
	}

	private static void deliverSome(List<SlotAllocator> allocators, List<SlotUse> undelivered, SplittableRandom random,
			int now) {
		for (SlotUse use : List.copyOf(undelivered)) {
			if (random.nextInt(3) > 0) {
				allocators.forEach((allocator) -> allocator.receive(use, now));
				undelivered.remove(use);
			}
		}
	}

	private static List<SlotAllocator> allocators() {
		List<SlotAllocator> allocators = ALL.stream().map(SlotAllocator::new).toList();
		allocators.forEach((allocator) -> allocator.setInstances(ALL));
		return allocators;
	}

	private static void exchangeReports(List<SlotAllocator> allocators, int[] inFlight, int[] wanted, long now) {
		List<SlotUse> uses = new ArrayList<>();
		for (int i = 0; i < allocators.size(); i++) {
			allocators.get(i).report(TARGET, inFlight[i], wanted[i], now).ifPresent(uses::add);
		}
		uses.forEach((use) -> allocators.forEach((allocator) -> allocator.receive(use, now)));
	}

	private static int sum(List<SlotAllocator> allocators, long now) {
		return allocators.stream().mapToInt((allocator) -> allocator.capacity(TARGET, now)).sum();
	}

}
