package io.verbenatrack.scheduling.admission;

import java.util.List;
import java.util.stream.Collectors;

import io.verbenatrack.model.AccountId;
import io.verbenatrack.model.Guarantee;
import io.verbenatrack.model.Problem;
import io.verbenatrack.model.ProblemKind;

/**
 * A set of guarantees that cannot be packed together, although the others fit when any
 * one of them is left out.
 *
 * @param members the guarantees
 * @param smallest whether no set with fewer members conflicts; false when the search
 * reached its limit before this was known
 */
public record GuaranteeConflict(List<Member> members, boolean smallest) {

	public GuaranteeConflict {
		members = List.copyOf(members);
	}

	/**
	 * Returns the conflict as a problem report for the operator.
	 * @return the problem with its remedy
	 */
	public Problem problem() {
		String names = this.members.stream().map(Member::toString).collect(Collectors.joining(", "));
		String found = (this.members.size() != 1) ? "These guarantees do not fit into the fleet together: "
				: "This guarantee does not fit into the fleet: ";
		return new Problem(ProblemKind.TOO_LARGE, found + names + ".",
				"Lower the count or the shape of one of them, or add workers.");
	}

	/**
	 * One guarantee.
	 *
	 * @param account the account that has the guarantee
	 * @param index the index in the account's guarantees, from 0
	 * @param guarantee the guarantee
	 */
	public record Member(AccountId account, int index, Guarantee guarantee) {

		@Override
		public String toString() {
			return this.account + " " + this.guarantee.count() + " x " + this.guarantee.shape().accelerators()
					+ " accelerators";
		}

	}

}
