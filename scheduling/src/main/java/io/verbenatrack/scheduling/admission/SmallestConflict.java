package io.verbenatrack.scheduling.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.verbenatrack.model.AccountDeclaration;
import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Guarantee;

/**
 * Finds the smallest set of guarantees that cannot be packed together.
 *
 * <p>
 * A deletion filter (Chinneck and Dravnieks, "Locating minimal infeasible constraint sets
 * in linear programs", 1991) gives a conflicting set in which every member is necessary.
 * Sets with fewer members are then tried in order of their size, up to a limit on the
 * number of trials.
 */
public final class SmallestConflict {

	private static final int MAXIMUM_TRIALS = 500;

	private final GuaranteePacker packer;

	private int remainingTrials = MAXIMUM_TRIALS;

	private SmallestConflict(GuaranteePacker packer) {
		this.packer = packer;
	}

	/**
	 * Searches for a conflict.
	 * @param accounts the accounts with all their guarantees
	 * @param packer checks whether a subset of the guarantees fits
	 * @return the conflict, or empty when all guarantees fit at the same time
	 */
	public static Optional<GuaranteeConflict> find(List<AccountDeclaration> accounts, GuaranteePacker packer) {
		List<GuaranteeConflict.Member> all = members(accounts);
		if (all.isEmpty() || packer.packs(accounts)) {
			return Optional.empty();
		}
		return Optional.of(new SmallestConflict(packer).find(all));
	}

	private GuaranteeConflict find(List<GuaranteeConflict.Member> all) {
		List<GuaranteeConflict.Member> needed = deletionFilter(all);
		for (int size = 1; size < needed.size(); size++) {
			Optional<List<GuaranteeConflict.Member>> smaller = search(all, 0, size, List.of());
			if (smaller.isPresent()) {
				return new GuaranteeConflict(smaller.get(), true);
			}
			if (this.remainingTrials <= 0) {
				return new GuaranteeConflict(needed, false);
			}
		}
		return new GuaranteeConflict(needed, true);
	}

	private List<GuaranteeConflict.Member> deletionFilter(List<GuaranteeConflict.Member> all) {
		List<GuaranteeConflict.Member> remaining = new ArrayList<>(all);
		for (GuaranteeConflict.Member member : all) {
			List<GuaranteeConflict.Member> rest = new ArrayList<>(remaining);
			rest.remove(member);
			if (!packs(rest)) {
				remaining = rest;
			}
		}
		return remaining;
	}

	private Optional<List<GuaranteeConflict.Member>> search(List<GuaranteeConflict.Member> all, int from, int size,
			List<GuaranteeConflict.Member> chosen) {
		if (size == 0) {
			this.remainingTrials--;
			return packs(chosen) ? Optional.empty() : Optional.of(chosen);
		}
		for (int i = from; i <= all.size() - size && this.remainingTrials > 0; i++) {
			List<GuaranteeConflict.Member> extended = new ArrayList<>(chosen);
			extended.add(all.get(i));
			Optional<List<GuaranteeConflict.Member>> found = search(all, i + 1, size - 1, extended);
			if (found.isPresent()) {
				return found;
			}
		}
		return Optional.empty();
	}

	private boolean packs(List<GuaranteeConflict.Member> members) {
		Map<AccountId, List<Guarantee>> byAccount = new LinkedHashMap<>();
		for (GuaranteeConflict.Member member : members) {
			byAccount.computeIfAbsent(member.account(), (id) -> new ArrayList<>()).add(member.guarantee());
		}
		List<AccountDeclaration> accounts = new ArrayList<>();
		byAccount.forEach((id, guarantees) -> accounts.add(new AccountDeclaration(id, guarantees, 1, 0)));
		return this.packer.packs(accounts);
	}

	private static List<GuaranteeConflict.Member> members(List<AccountDeclaration> accounts) {
		List<GuaranteeConflict.Member> members = new ArrayList<>();
		for (AccountDeclaration account : accounts) {
			for (int index = 0; index < account.guarantees().size(); index++) {
				members.add(new GuaranteeConflict.Member(account.id(), index, account.guarantees().get(index)));
			}
		}
		return members;
	}

}
