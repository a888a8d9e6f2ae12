package io.verbenatrack.fleet.model;

import java.util.List;

import org.testng.annotations.Test;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.ServiceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationIndex}.
 */
public class ConfigurationIndexTests {

	private static final AccountId ACCOUNT = new AccountId("account");

	private final ConfigurationIndex index = new ConfigurationIndex(new FleetConfiguration(1,
			List.of(queue("one", "Host.example", "/a/"), queue("two", "host.example", "/a/b/"),
					queue("three", "other.example", "/a/b/c/")),
			List.of(), new CallLimits(1, 1, 1, 1), List.of(new FleetAccount(ACCOUNT, List.of("k1", "k2"), 48))));

	private static Queue queue(String name, String host, String prefix) {
		return new Queue(name, host, prefix, new ServiceId("service"), 0, 2, 3, 1000, 3000, false);
	}

	@Test
	public void longestPrefixOfTheHostSelectsTheQueue() {
		assertThat(this.index.route("host.example", "/a/b/c/1")).map(Queue::name).contains("two");
		assertThat(this.index.route("HOST.example", "/a/1")).map(Queue::name).contains("one");
		assertThat(this.index.route("host.example", "/b/1")).isEmpty();
		assertThat(this.index.route("third.example", "/a/1")).isEmpty();
	}

	@Test
	public void findsQueueByName() {
		assertThat(this.index.queue("three")).map(Queue::host).contains("other.example");
		assertThat(this.index.queue("four")).isEmpty();
	}

	@Test
	public void findsAccountByEachOfItsKeys() {
		assertThat(this.index.accountOfKey("k2")).map(FleetAccount::account).contains(ACCOUNT);
		assertThat(this.index.accountOfKey("k3")).isEmpty();
		assertThat(this.index.guaranteedAccelerators(ACCOUNT)).isEqualTo(48);
		assertThat(this.index.guaranteedAccelerators(new AccountId("other"))).isZero();
	}

}
