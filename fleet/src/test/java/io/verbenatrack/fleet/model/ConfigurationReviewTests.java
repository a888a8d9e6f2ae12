package io.verbenatrack.fleet.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.UnaryOperator;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ServiceId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link ConfigurationReview}: each case changes one entry of a configuration
 * without findings.
 */
public class ConfigurationReviewTests {

	private static final CallLimits LIMITS = new CallLimits(16_384, 262_144, 3000, 15_000);

	private static final WorkerPool POOL = new WorkerPool(new ServiceId("solver"), true);

	private static final Queue QUEUE = new Queue("urgent", "grid", "/urgent/", POOL.service(), 0, 4, 1, 800, 800,
			false);

	private static final FleetAccount ACCOUNT = account("north", 64, "secret-1");

	private static final FleetConfiguration CLEAN = new FleetConfiguration(2, List.of(QUEUE), List.of(POOL), LIMITS,
			List.of(ACCOUNT));

	private static FleetAccount account(String name, int guaranteed, String... keys) {
		return new FleetAccount(new AccountId(name), List.of(keys), guaranteed);
	}

	private static FleetConfiguration queues(Queue... queues) {
		return new FleetConfiguration(2, List.of(queues), CLEAN.pools(), LIMITS, CLEAN.accounts());
	}

	private static FleetConfiguration accounts(FleetAccount... accounts) {
		return new FleetConfiguration(2, CLEAN.queues(), CLEAN.pools(), LIMITS, List.of(accounts));
	}

	private static FleetConfiguration pools(String... services) {
		List<WorkerPool> pools = new ArrayList<>(CLEAN.pools());
		for (String service : services) {
			pools.add(new WorkerPool(new ServiceId(service), true));
		}
		return new FleetConfiguration(2, CLEAN.queues(), pools, LIMITS, CLEAN.accounts());
	}

	private static Queue queue(String host, String prefix, double stretch, long timeout) {
		return new Queue("urgent", host, prefix, POOL.service(), 0, 4, stretch, 800, timeout, false);
	}

	private static List<ConfigurationFinding> review(FleetConfiguration configuration) {
		return ConfigurationReview.review(configuration, Optional.empty(), OptionalLong.of(64));
	}

	private static List<ConfigurationFinding> compare(FleetConfiguration configuration) {
		return ConfigurationReview.review(configuration, Optional.of(withVersion(CLEAN, 1)), OptionalLong.empty());
	}

	private static FleetConfiguration withVersion(FleetConfiguration from, long version) {
		return new FleetConfiguration(version, from.queues(), from.pools(), from.limits(), from.accounts());
	}

	/** Guards against findings on a configuration at the bounds of all limits. */
	@Test
	public void configurationAtItsLimitsHasNoFindings() {
		assertThat(review(CLEAN)).isEmpty();
		assertThat(compare(CLEAN)).isEmpty();
	}

	@DataProvider
	Object[][] unreachable() {
		FleetAccount keyless = account("south", 0);
		return new Object[][] { { queues(queue("grid", "urgent/", 1, 800)), "queue urgent has the prefix urgent/" },
				{ queues(queue("grid:80", "/urgent/", 1, 800)), "queue urgent has the host grid:80" },
				{ pools("renderer"), "No queue routes to the service renderer" },
				{ pools("solver"), "service solver is listed more than once" },
				{ accounts(ACCOUNT, keyless), "client account south has no API key" },
				{ accounts(ACCOUNT, account("north", 64, "secret-2")),
						"client account north is listed more than once" } };
	}

	/** Guards against entries that are accepted and that no call or job ever matches. */
	@Test(dataProvider = "unreachable")
	public void entryThatNeverMatchesIsNamed(FleetConfiguration configuration, String message) {
		assertThat(review(configuration)).singleElement()
			.isInstanceOfSatisfying(ConfigurationFinding.NeverMatches.class,
					(finding) -> assertNamed(finding.problem(), message));
	}

	/** Guards against a closed queue in a configuration without any key. */
	@Test
	public void queueIsUnreachableOnlyIfNoAccountHasAKeyAndItRequiresOne() {
		Queue open = new Queue("urgent", "grid", "/urgent/", POOL.service(), 0, 4, 1, 800, 800, true);
		FleetConfiguration opened = new FleetConfiguration(2, List.of(open), CLEAN.pools(), LIMITS, List.of());
		assertThat(review(accounts())).singleElement()
			.isInstanceOfSatisfying(ConfigurationFinding.NeverMatches.class,
					(finding) -> assertNamed(finding.problem(), "queue urgent requires an API key"));
		assertThat(review(opened)).isEmpty();
	}

	@DataProvider
	Object[][] contradictions() {
		return new Object[][] {
				{ queues(queue("grid", "/urgent/", 1, 799)), "queue urgent has a time limit of 799 ms" },
				{ queues(queue("grid", "/urgent/", 0.99, 800)), "queue urgent has a stretch of 0.99" },
				{ accounts(ACCOUNT, account("south", 1, "k")), "client accounts are guaranteed 65 accelerators" } };
	}

	/** Guards against limits of which one can never be kept. */
	@Test(dataProvider = "contradictions")
	public void contradictingLimitsAreNamedWithTheirValues(FleetConfiguration configuration, String message) {
		assertThat(review(configuration)).singleElement()
			.isInstanceOfSatisfying(ConfigurationFinding.Contradiction.class,
					(finding) -> assertNamed(finding.problem(), message));
	}

	/** Guards against an int overflow in the sum, and against hiding the account. */
	@Test
	public void guaranteesAboveTheFleetAreFoundPerAccountAndInTotal() {
		FleetConfiguration configuration = accounts(account("a", Integer.MAX_VALUE, "k"),
				account("b", Integer.MAX_VALUE, "l"));
		assertThat(review(configuration)).hasSize(3);
		assertThat(ConfigurationReview.review(configuration, Optional.empty(), OptionalLong.empty())).isEmpty();
	}

	/** Guards against errors from elsewhere than the validator, and doubled findings. */
	@Test
	public void errorsAreThoseOfTheValidatorAndReportedOnce() {
		Queue shadowed = new Queue("copy", "GRID", "/urgent/", new ServiceId("none"), 0, 4, 1, 800, 800, false);
		FleetConfiguration configuration = queues(QUEUE, shadowed);
		List<Problem> problems = ConfigurationValidator.problems(configuration);
		assertThat(problems).hasSize(2);
		assertThat(problems.getLast().message()).contains("queue copy").contains("queue urgent");
		assertThat(ConfigurationValidator.validate(configuration)).contains(problems.getFirst());
		assertThat(review(configuration))
			.isEqualTo(problems.stream().<ConfigurationFinding>map(ConfigurationFinding.Invalid::new).toList());
	}

	/** Guards against sending a configuration that is acknowledged without effect. */
	@Test
	public void versionThatIsNotHigherIsAFinding() {
		assertThat(compare(withVersion(CLEAN, 1))).containsExactly(new ConfigurationFinding.StaleVersion(1, 1));
		assertThat(compare(withVersion(CLEAN, 0))).containsExactly(new ConfigurationFinding.StaleVersion(0, 1));
	}

	@DataProvider
	Object[][] fields() {
		UnaryOperator<FleetConfiguration> lower = (from) -> new FleetConfiguration(2, from.queues(), from.pools(),
				new CallLimits(1, 2, 3, 4), from.accounts());
		Queue other = new Queue("urgent", "h", "/p/", new ServiceId("solver"), 1, 5, 2, 900, 1000, true);
		return new Object[][] { { lower.apply(CLEAN), 4 }, { queues(other), 8 },
				{ accounts(account("north", 63, "secret-1")), 1 } };
	}

	/** Guards against a field that the comparison leaves out. */
	@Test(dataProvider = "fields")
	public void everyChangedFieldIsReported(FleetConfiguration configuration, int changes) {
		assertThat(compare(configuration)).hasSize(changes).allMatch(ConfigurationFinding.Changed.class::isInstance);
	}

	/** Guards against entries that appear or vanish unnoticed. */
	@Test
	public void addedAndRemovedEntriesAreReported() {
		FleetConfiguration empty = new FleetConfiguration(2, List.of(), List.of(), LIMITS, List.of());
		assertThat(compare(empty)).extracting(Object::toString)
			.hasSize(3)
			.allMatch((finding) -> finding.startsWith("Removed"));
		assertThat(ConfigurationReview.review(CLEAN, Optional.of(withVersion(empty, 1)), OptionalLong.empty()))
			.filteredOn(ConfigurationFinding.Added.class::isInstance)
			.hasSize(3);
	}

	/** Guards against secrets in the output of a check. */
	@Test
	public void keysAreCountedAndNeverShown() {
		List<ConfigurationFinding> findings = compare(accounts(account("north", 64, "secret-2", "secret-3")));
		assertThat(findings).containsExactly(new ConfigurationFinding.KeysChanged(ACCOUNT.account(), 2, 1));
		FleetConfiguration shared = accounts(ACCOUNT, account("south", 0, "secret-1"));
		assertThat(review(shared).toString()).contains("has a key that").doesNotContain("secret");
	}

	private static void assertNamed(Problem problem, String message) {
		assertThat(problem.message()).contains(message).endsWith(".");
		assertThat(problem.remedy()).endsWith(".");
	}

}
