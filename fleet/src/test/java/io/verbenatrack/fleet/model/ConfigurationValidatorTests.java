package io.verbenatrack.fleet.model;

import java.util.List;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.fleet.Fixtures;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ServiceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationValidator}: pairs of an invalid configuration and a
 * similar valid one.
 */
public class ConfigurationValidatorTests {

	private static final CallLimits LIMITS = new CallLimits(1, 1, 1, 1);

	private static final List<WorkerPool> POOLS = List.of(new WorkerPool(Fixtures.SERVICE, true));

	private static Queue queue(String name, String host, String prefix, String service, long timeout) {
		return new Queue(name, host, prefix, new ServiceId(service), 0, 1, 1, 1, timeout, false);
	}

	private static FleetConfiguration queues(Queue... queues) {
		return new FleetConfiguration(1, List.of(queues), POOLS, LIMITS, List.of());
	}

	private static FleetConfiguration keys(String first, String second) {
		return new FleetConfiguration(1, List.of(), POOLS, LIMITS,
				List.of(new FleetAccount(new AccountId("a"), List.of(first), 0),
						new FleetAccount(new AccountId("b"), List.of(second), 0)));
	}

	@DataProvider
	Object[][] pairs() {
		Queue valid = queue("one", "host", "/one/", "service", 1);
		return new Object[][] { { "unknown service", queues(queue("one", "host", "/one/", "other", 1)), queues(valid) },
				{ "duplicate route", queues(valid, queue("two", "HOST", "/one/", "service", 1)),
						queues(valid, queue("two", "other", "/one/", "service", 1)) },
				{ "duplicate name", queues(valid, queue("one", "host", "/two/", "service", 1)),
						queues(valid, queue("two", "host", "/two/", "service", 1)) },
				{ "no timeout", queues(queue("one", "host", "/one/", "service", 0)), queues(valid) },
				{ "shared key", keys("k", "k"), keys("k", "l") } };
	}

	@Test(dataProvider = "pairs")
	public void rejectsInvalidAndAcceptsValidConfiguration(String name, FleetConfiguration invalid,
			FleetConfiguration valid) {
		assertThat(ConfigurationValidator.validate(invalid)).as(name).map(Problem::remedy).isPresent();
		assertThat(ConfigurationValidator.validate(valid)).as(name).isEmpty();
	}

}
