package io.verbenatrack.model;

import java.time.Duration;
import java.time.Instant;

import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link WallClockLeaseClock}.
 */
public class WallClockLeaseClockTests {

	private static final Duration LONGEST_LEASE = Duration.ofSeconds(30);

	private Duration monotonic;

	private Instant wallClock;

	private WallClockLeaseClock clock;

	private long heldStartNanos;

	private long grantedStartNanos;

	@BeforeMethod
	void start() {
		this.monotonic = Duration.ofSeconds(5);
		this.wallClock = Instant.EPOCH;
		this.clock = new WallClockLeaseClock(() -> this.monotonic.toNanos(), () -> this.wallClock);
		this.heldStartNanos = this.clock.held().nanos();
		this.grantedStartNanos = this.clock.granted().nanos();
	}

	private void advance(Duration monotonicPart, Duration wallClockPart) {
		this.monotonic = this.monotonic.plus(monotonicPart);
		this.wallClock = this.wallClock.plus(wallClockPart);
	}

	private Duration held() {
		return Duration.ofNanos(this.clock.held().nanos() - this.heldStartNanos);
	}

	private Duration granted() {
		return Duration.ofNanos(this.clock.granted().nanos() - this.grantedStartNanos);
	}

	@Test
	public void bothReadingsFollowTheMonotonicClock() {
		advance(Duration.ofSeconds(1), Duration.ofSeconds(1));
		assertThat(held()).isEqualTo(Duration.ofSeconds(1));
		assertThat(granted()).isEqualTo(Duration.ofSeconds(1));
	}

	@Test
	public void smallClockCorrectionsAreNoSuspension() {
		advance(Duration.ofSeconds(1), Duration.ofMillis(1100));
		assertThat(held()).isEqualTo(Duration.ofSeconds(1));
	}

	@Test
	public void gradualAdjustmentOfTheWallClockIsNoSuspension() {
		for (int second = 0; second < 600; second++) {
			advance(Duration.ofSeconds(1), Duration.ofSeconds(1).plusNanos(500_000));
			held();
		}
		assertThat(held()).isEqualTo(Duration.ofSeconds(600));
	}

	@Test
	public void suspensionEndsEveryLeaseHeld() {
		advance(Duration.ofMillis(1), Duration.ofSeconds(6));
		assertThat(held()).isGreaterThan(LONGEST_LEASE);
		assertThat(granted()).isEqualTo(Duration.ofMillis(1));
	}

	// Guards against a leader that ended the leases of workers early while its wall clock
	// went forward in steps.
	@Test
	public void stepsOfTheWallClockDoNotEndLeasesGranted() {
		for (int step = 0; step < 15; step++) {
			advance(Duration.ofMillis(400), Duration.ofMillis(640));
			held();
		}
		assertThat(granted()).isEqualTo(Duration.ofSeconds(6));
	}

	// Guards against a step back that hides a part of a suspension.
	@Test
	public void stepBackDuringSuspensionEndsEveryLeaseHeld() {
		advance(Duration.ofMillis(1), Duration.ofSeconds(6).minusSeconds(4));
		assertThat(held()).isGreaterThan(LONGEST_LEASE);
		advance(Duration.ofMillis(1), Duration.ofSeconds(4).minusSeconds(6));
		assertThat(held()).isGreaterThan(LONGEST_LEASE.multipliedBy(2));
	}

	@Test
	public void readingsNeverGoBackWhenTheWallClockDoes() {
		advance(Duration.ofSeconds(1), Duration.ofSeconds(-9));
		assertThat(held()).isGreaterThanOrEqualTo(Duration.ofSeconds(1));
		Duration before = held();
		advance(Duration.ofSeconds(1), Duration.ofSeconds(1));
		assertThat(held()).isEqualTo(before.plusSeconds(1));
		assertThat(granted()).isEqualTo(Duration.ofSeconds(2));
	}

}
