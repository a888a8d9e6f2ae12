package io.verbenatrack.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.ExceptionDeclaration;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.RackId;

/**
 * The differences between two revisions of the declarations.
 *
 * @param changes the changes, defaults first, then accounts and exceptions by name
 */
public record DeclarationsDiff(List<Change> changes) {

	public DeclarationsDiff {
		changes = List.copyOf(changes);
	}

	/**
	 * Compares two revisions.
	 * @param before the earlier revision
	 * @param after the later revision
	 * @return the differences
	 */
	public static DeclarationsDiff between(Declarations before, Declarations after) {
		List<Change> changes = new ArrayList<>();
		compare(changes, new Subject.WholeFleet(), describe(before.defaults()), describe(after.defaults()));
		Map<AccountId, AccountDeclaration> earlierAccounts = byId(before);
		Map<AccountId, AccountDeclaration> laterAccounts = byId(after);
		for (AccountId id : union(earlierAccounts, laterAccounts)) {
			compare(changes, new Subject.OneAccount(id), describe(earlierAccounts.get(id)),
					describe(laterAccounts.get(id)));
		}
		Map<String, ExceptionDeclaration> earlierExceptions = byName(before);
		Map<String, ExceptionDeclaration> laterExceptions = byName(after);
		for (String name : union(earlierExceptions, laterExceptions)) {
			ExceptionDeclaration either = laterExceptions.getOrDefault(name, earlierExceptions.get(name));
			compare(changes, subject(either), describe(earlierExceptions.get(name)),
					describe(laterExceptions.get(name)));
		}
		return new DeclarationsDiff(changes);
	}

	private static Subject subject(ExceptionDeclaration exception) {
		return switch (exception.scope()) {
			case ExceptionDeclaration.Scope.OneAccount scope -> new Subject.OneAccount(scope.account());
			case ExceptionDeclaration.Scope.OneRack scope -> new Subject.OneRack(scope.rack());
		};
	}

	private static void compare(List<Change> changes, Subject subject, Map<String, String> before,
			Map<String, String> after) {
		for (String key : union(before, after)) {
			String from = before.getOrDefault(key, "");
			String to = after.getOrDefault(key, "");
			if (!from.equals(to)) {
				changes.add(new Change(subject, key, from, to));
			}
		}
	}

	private static <K extends Comparable<K>> TreeSet<K> union(Map<K, ?> left, Map<K, ?> right) {
		TreeSet<K> keys = new TreeSet<>(left.keySet());
		keys.addAll(right.keySet());
		return keys;
	}

	private static Map<AccountId, AccountDeclaration> byId(Declarations declarations) {
		Map<AccountId, AccountDeclaration> accounts = new TreeMap<>();
		declarations.accounts().forEach((account) -> accounts.put(account.id(), account));
		return accounts;
	}

	private static Map<String, ExceptionDeclaration> byName(Declarations declarations) {
		Map<String, ExceptionDeclaration> exceptions = new TreeMap<>();
		declarations.exceptions().forEach((exception) -> exceptions.put(exception.name(), exception));
		return exceptions;
	}

	private static Map<String, String> describe(FleetDefaults defaults) {
		Map<String, String> values = new TreeMap<>();
		values.put("completion-time-weight", Double.toString(defaults.completionTimeWeight()));
		values.put("checkpoint-grace", DurationFormat.format(defaults.checkpointGrace()));
		values.put("lease-duration", DurationFormat.format(defaults.leaseDuration()));
		values.put("quarantine-after-failures", Integer.toString(defaults.quarantineAfterFailures()));
		values.put("quarantine-probation", DurationFormat.format(defaults.quarantineProbation()));
		values.put("quarantine-maximum-share", Double.toString(defaults.quarantineMaximumShare()));
		values.put("refuse-after-workers", Integer.toString(defaults.refuseAfterWorkers()));
		values.put("backfill", Boolean.toString(defaults.backfill()));
		return values;
	}

	private static Map<String, String> describe(AccountDeclaration account) {
		if (account == null) {
			return Map.of();
		}
		Map<String, String> values = new TreeMap<>();
		values.put("account", "declared");
		values.put("weight", Integer.toString(account.weight()));
		values.put("degrade-order", Integer.toString(account.degradeOrder()));
		values.put("guarantees",
				String.join(", ", account.guarantees().stream().map(DeclarationsDiff::describe).toList()));
		return values;
	}

	private static String describe(Guarantee guarantee) {
		return guarantee.count() + " x " + guarantee.shape().accelerators() + " accelerators with "
				+ guarantee.shape().coresPerAccelerator() + " cores and " + guarantee.shape().memoryGibPerAccelerator()
				+ " GiB each";
	}

	private static Map<String, String> describe(ExceptionDeclaration exception) {
		if (exception == null) {
			return Map.of();
		}
		String expiry = exception.expires().map((time) -> ", until " + time).orElse("");
		return Map.of("exception " + exception.name(),
				exception.setting() + " = " + exception.value() + " (" + exception.reason() + expiry + ")");
	}

	/**
	 * A value that differs.
	 *
	 * @param subject the part of the fleet that the change applies to
	 * @param key the key
	 * @param before the earlier value, or empty when there was none
	 * @param after the later value, or empty when there is none
	 */
	public record Change(Subject subject, String key, String before, String after) {

	}

	/**
	 * The part of the fleet that a change applies to.
	 */
	public sealed interface Subject {

		/**
		 * The whole fleet.
		 */
		record WholeFleet() implements Subject {

			@Override
			public String toString() {
				return "fleet";
			}

		}

		/**
		 * One client account.
		 *
		 * @param account the account
		 */
		record OneAccount(AccountId account) implements Subject {

			@Override
			public String toString() {
				return "account " + this.account;
			}

		}

		/**
		 * One rack.
		 *
		 * @param rack the rack
		 */
		record OneRack(RackId rack) implements Subject {

			@Override
			public String toString() {
				return "rack " + this.rack;
			}

		}

	}

}
