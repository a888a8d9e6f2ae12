package io.verbenatrack.routing;

import java.util.List;

import org.testng.annotations.Test;

import io.verbenatrack.model.InstanceId;
import io.verbenatrack.model.ServiceId;
import io.verbenatrack.model.TargetId;
import io.verbenatrack.model.ZoneId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests {@link VersionedTargetDirectory}.
 */
public class VersionedTargetDirectoryTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final ServiceId SERVICE = new ServiceId("jalan");

	private static final TargetSpec TARGET = spec("http://t:1");

	private final VersionedTargetDirectory first = new VersionedTargetDirectory(new InstanceId("a"));

	private final VersionedTargetDirectory second = new VersionedTargetDirectory(new InstanceId("b"));

	private static TargetSpec spec(String url) {
		return new TargetSpec(new TargetId("t"), SERVICE, new ZoneId("z"), url, 8, 64);
	}

	@Test
	public void mergedUpdateMakesTargetEligible() {
		VersionedTargetDirectory other = new VersionedTargetDirectory(new InstanceId("c"));
		TargetDelta delta = new VersionedTargetDirectory(new InstanceId("d")).announce(TARGET, 0, 3, 0);
		assertThat(other.merge(delta, 0)).isTrue();
		assertThat(other.merge(delta, 0)).as("duplicate update").isFalse();
		assertThat(other.eligible(SERVICE, 0)).singleElement()
			.satisfies((view) -> assertThat(view.reportedLoad()).isEqualTo(3));
	}

	@Test
	public void lateRenewalDoesNotReviveLeavingTarget() {
		TargetDelta announced = this.first.announce(TARGET, 0, 0, 0);
		this.second.merge(announced, 0);
		TargetDelta leaving = this.first.drain(TARGET.id(), 0).orElseThrow();
		TargetDelta renewal = this.second.announce(TARGET, 0, 0, 1);
		this.first.merge(renewal, 2);
		this.second.merge(leaving, 2);
		assertThat(this.first.eligible(SERVICE, 2)).isEmpty();
		assertThat(this.second.eligible(SERVICE, 2)).isEmpty();
		this.second.announce(TARGET, 0, 0, 3);
		assertThat(this.second.eligible(SERVICE, 3)).isEmpty();
	}

	@Test
	public void restartedTargetIsEligibleAgain() {
		VersionedTargetDirectory directory = new VersionedTargetDirectory(new InstanceId("a"));
		directory.announce(TARGET, 0, 0, 0);
		directory.drain(TARGET.id(), 0);
		directory.announce(spec("http://t:2"), 0, 0, 1);
		assertThat(directory.eligible(SERVICE, 1)).hasSize(1);
	}

	@Test
	public void targetIsNotEligibleTwoSecondsAfterItsLastUpdate() {
		VersionedTargetDirectory directory = new VersionedTargetDirectory(new InstanceId("a"));
		directory.announce(TARGET, 0, 0, 0);
		assertThat(directory.eligible(SERVICE, SECOND_NANOS)).hasSize(1);
		assertThat(directory.eligible(SERVICE, 2 * SECOND_NANOS)).isEmpty();
		assertThat(directory.all(4 * SECOND_NANOS)).singleElement()
			.satisfies((view) -> assertThat(view.phase()).isEqualTo(TargetPhase.LEFT));
	}

	@Test
	public void returnsOnlyChangesSinceRevision() {
		VersionedTargetDirectory directory = new VersionedTargetDirectory(new InstanceId("a"));
		directory.announce(TARGET, 0, 0, 0);
		long revision = directory.revision();
		assertThat(directory.changesSince(revision, 0)).isEmpty();
		directory.announce(TARGET, 0, 1, 0);
		List<TargetDelta> changes = directory.changesSince(revision, SECOND_NANOS);
		assertThat(changes).singleElement().satisfies((delta) -> assertThat(delta.ageMillis()).isEqualTo(1000));
	}

}
