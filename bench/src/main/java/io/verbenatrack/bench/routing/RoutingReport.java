package io.verbenatrack.bench.routing;

import java.util.List;
import java.util.Locale;

/**
 * Results of the routing bench.
 *
 * @param seed the seed
 * @param loads the goodput by strategy and load
 * @param brownOuts the retries by strategy while a third of the targets fails
 * @param withdrawals the time until a target receives no more requests, by event
 * @param fairness the smallest ratio of an account's share to its fair share, while
 * another account sends excessive load
 * @param overheads the latency that an entry adds over loopback
 * @param bytesPerOpenRequest the heap that the request router uses for each queued
 * request, without HTTP buffers, in bytes
 */
public record RoutingReport(long seed, List<Load> loads, List<BrownOut> brownOuts, List<Withdrawal> withdrawals,
		double fairness, List<Overhead> overheads, long bytesPerOpenRequest) {

	/**
	 * Formats the report as text.
	 * @return the text, one line for each result
	 */
	public String toText() {
		StringBuilder text = new StringBuilder("Request routing, seed " + this.seed + "\n");
		for (Load load : this.loads) {
			line(text, "%-24s load %.1f  goodput %.3f of capacity  latency p99 %.0f ms  refusal p99 %.1f ms",
					load.strategy(), load.offered(), load.goodput(), load.answerP99Millis(), load.refusalP99Millis());
		}
		for (BrownOut brownOut : this.brownOuts) {
			line(text, "%-24s brown-out  %.3f attempts per request  %.4f answered", brownOut.strategy(),
					brownOut.attemptsPerRequest(), brownOut.answered());
		}
		for (Withdrawal withdrawal : this.withdrawals) {
			line(text, "%-24s nothing new after %.0f ms", withdrawal.event(), withdrawal.millis());
		}
		line(text, "fairness %.3f (smallest share over entitled share)", this.fairness);
		for (Overhead overhead : this.overheads) {
			line(text, "%-24s added p50 %.3f ms  p99 %.3f ms  (direct p50 %.3f ms p99 %.3f ms)", overhead.kind(),
					overhead.addedP50Millis(), overhead.addedP99Millis(), overhead.directP50Millis(),
					overhead.directP99Millis());
		}
		line(text, "memory %d bytes for each queued request in the core", this.bytesPerOpenRequest);
		return text.toString();
	}

	private static void line(StringBuilder text, String format, Object... values) {
		text.append(String.format(Locale.ROOT, format, values)).append('\n');
	}

	/**
	 * Goodput of one strategy under one load.
	 *
	 * @param strategy the routing strategy
	 * @param offered the offered load as a multiple of the capacity
	 * @param goodput the rate of answers before the deadline as a share of the capacity
	 * @param answerP99Millis the 99th percentile of the answer latency in milliseconds
	 * @param refusalP99Millis the 99th percentile of the time until a refusal in
	 * milliseconds, 0 if there was none
	 */
	public record Load(String strategy, double offered, double goodput, double answerP99Millis,
			double refusalP99Millis) {

	}

	/**
	 * Result of one strategy while a third of the targets fails.
	 *
	 * @param strategy the routing strategy
	 * @param attemptsPerRequest the mean number of dispatches that reached a target, per
	 * request
	 * @param answered the share of requests that were answered
	 */
	public record BrownOut(String strategy, double attemptsPerRequest, double answered) {

	}

	/**
	 * Time until a target receives no more requests.
	 *
	 * @param event the event at the target
	 * @param millis the time from the event to the last dispatch in milliseconds
	 */
	public record Withdrawal(String event, double millis) {

	}

	/**
	 * Latency that the entry adds over loopback.
	 *
	 * @param kind the kind of request
	 * @param directP50Millis the median latency of direct calls in milliseconds
	 * @param directP99Millis the 99th percentile of the latency of direct calls in
	 * milliseconds
	 * @param addedP50Millis the increase of the median in milliseconds
	 * @param addedP99Millis the increase of the 99th percentile in milliseconds
	 */
	public record Overhead(String kind, double directP50Millis, double directP99Millis, double addedP50Millis,
			double addedP99Millis) {

	}

}
