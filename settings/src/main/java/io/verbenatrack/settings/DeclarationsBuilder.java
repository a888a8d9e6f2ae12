package io.verbenatrack.settings;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Declarations;
import io.verbenatrack.model.ExceptionDeclaration;
import io.verbenatrack.model.FleetDefaults;
import io.verbenatrack.model.GangShape;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.RackId;

/**
 * Merges the declarations of several documents and validates them as a whole.
 */
final class DeclarationsBuilder {

	private static final int MAXIMUM_COUNT = 10_000;

	private static final int MAXIMUM_RESOURCES_PER_ACCELERATOR = 10_000;

	private static final int MINIMUM_REASON_LENGTH = 10;

	private final Map<AccountId, MappingReader> accountSources = new HashMap<>();

	private final List<AccountDeclaration> accounts = new ArrayList<>();

	private final List<ExceptionDeclaration> exceptions = new ArrayList<>();

	private final List<MappingReader> exceptionSources = new ArrayList<>();

	private Optional<MappingReader> defaultsSource = Optional.empty();

	private FleetDefaults defaults = FleetDefaults.STANDARD;

	/**
	 * Adds a document.
	 * @param document the reader for its top-level mapping
	 */
	void add(MappingReader document) {
		document.requireKnownKeys("defaults", "accounts", "exceptions");
		if (document.has("defaults")) {
			this.defaultsSource.ifPresent((earlier) -> {
				throw document.invalid("defaults", "stands twice, first in " + location(earlier, "defaults") + ".",
						"Keep one of them.");
			});
			this.defaultsSource = Optional.of(document);
			this.defaults = DefaultsReader.read(document.mapping("defaults"));
		}
		document.mappings("accounts").forEach(this::addAccount);
		document.mappings("exceptions").forEach(this::addException);
	}

	/**
	 * Validates constraints that span several documents and builds the declarations.
	 * @return the declarations
	 */
	Declarations build() {
		checkExceptions();
		this.accounts.sort(Comparator.comparing(AccountDeclaration::id));
		this.exceptions.sort(Comparator.comparing(ExceptionDeclaration::name));
		return new Declarations(this.defaults, this.accounts, this.exceptions);
	}

	private void addAccount(MappingReader reader) {
		reader.requireKnownKeys("id", "weight", "degrade-order", "guarantees");
		AccountId id = reader.identifier("id", AccountId::new);
		MappingReader earlier = this.accountSources.putIfAbsent(id, reader);
		if (earlier != null) {
			throw reader.invalid("id", "has '" + id + "', as in " + location(earlier, "id") + ".", "Keep one of them.");
		}
		List<Guarantee> guarantees = reader.mappings("guarantees").stream().map(this::guarantee).toList();
		this.accounts.add(new AccountDeclaration(id, guarantees, reader.integer("weight", 1, 1, MAXIMUM_COUNT),
				reader.integer("degrade-order", 0, 0, MAXIMUM_COUNT)));
	}

	private Guarantee guarantee(MappingReader reader) {
		reader.requireKnownKeys("accelerators", "cores-per-accelerator", "memory-gib-per-accelerator", "count");
		GangShape shape = new GangShape(reader.integer("accelerators", 1, GangShape.MAXIMUM_ACCELERATORS),
				reader.integer("cores-per-accelerator", 0, 0, MAXIMUM_RESOURCES_PER_ACCELERATOR),
				reader.integer("memory-gib-per-accelerator", 0, 0, MAXIMUM_RESOURCES_PER_ACCELERATOR));
		return new Guarantee(shape, reader.integer("count", 1, 1, MAXIMUM_COUNT));
	}

	private void addException(MappingReader reader) {
		reader.requireKnownKeys("name", "account", "rack", "setting", "value", "reason", "expires");
		String setting = reader.text("setting");
		if (!DefaultsReader.KEYS.contains(setting)) {
			throw reader.invalidValue("setting", setting,
					EditDistance.nearest(setting, DefaultsReader.KEYS)
						.map((nearest) -> "Did you mean '" + nearest + "'?")
						.orElse("Name a key of the defaults: " + String.join(", ", DefaultsReader.KEYS) + "."));
		}
		DefaultsReader.checkValue(reader, setting);
		String reason = reader.text("reason").strip();
		if (reason.length() < MINIMUM_REASON_LENGTH) {
			throw reader.invalidValue("reason", reason, "Write in a sentence why the exception exists.");
		}
		this.exceptions.add(new ExceptionDeclaration(reader.text("name"), scope(reader), setting, reader.text("value"),
				reason, reader.has("expires") ? Optional.of(reader.instant("expires")) : Optional.empty()));
		this.exceptionSources.add(reader);
	}

	private ExceptionDeclaration.Scope scope(MappingReader reader) {
		if (reader.has("account") == reader.has("rack")) {
			throw reader.invalid("account", "and 'rack' are both given, or both missing.", "Give exactly one of them.");
		}
		return reader.has("account")
				? new ExceptionDeclaration.Scope.OneAccount(reader.identifier("account", AccountId::new))
				: new ExceptionDeclaration.Scope.OneRack(reader.identifier("rack", RackId::new));
	}

	private void checkExceptions() {
		Set<String> names = new HashSet<>();
		Set<ScopedSetting> overridden = new HashSet<>();
		for (int i = 0; i < this.exceptions.size(); i++) {
			ExceptionDeclaration exception = this.exceptions.get(i);
			MappingReader reader = this.exceptionSources.get(i);
			if (exception.scope() instanceof ExceptionDeclaration.Scope.OneAccount scope
					&& !this.accountSources.containsKey(scope.account())) {
				throw reader.invalidValue("account", scope.account().value(), accountRemedy(scope.account()));
			}
			if (!names.add(exception.name())) {
				throw reader.invalidValue("name", exception.name(), "Give each exception its own name.");
			}
			if (!overridden.add(new ScopedSetting(exception.scope(), exception.setting()))) {
				throw reader.invalid("setting", "has '" + exception.setting() + "', which another exception overrides.",
						"Keep one exception for each setting of the same account or rack.");
			}
		}
	}

	private String accountRemedy(AccountId account) {
		List<String> known = this.accountSources.keySet().stream().map(AccountId::value).sorted().toList();
		return EditDistance.nearest(account.value(), known)
			.map((nearest) -> "Did you mean '" + nearest + "'?")
			.orElse("Declare that client account, or remove the exception.");
	}

	private static String location(MappingReader reader, String key) {
		return reader.sourceName() + ":" + reader.line(key);
	}

	private record ScopedSetting(ExceptionDeclaration.Scope scope, String setting) {

	}

}
