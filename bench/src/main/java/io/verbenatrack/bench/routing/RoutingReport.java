package io.verbenatrack.bench.routing;

import java.util.List;
import java.util.Locale;

/**
 * What the routing bench measured.
 *
 * @param seed the seed
 * @param loads goodput by strategy and load
 * @param brownOuts attempts while a third of the targets fails
 * @param withdrawals time until a target gets nothing new
 * @param fairness the smallest share of an account over its entitled share, while one
 * floods
 * @param overheads added latency over loopback
 * @param bytesPerOpenRequest heap of the decision core for each queued request, without
 * HTTP buffers, in bytes
 */
public record RoutingReport(long seed, List<Load> loads, List<BrownOut> brownOuts, List<Withdrawal> withdrawals,
		double fairness, List<Overhead> overheads, long bytesPerOpenRequest) {

	/**
	 * The report as text for operators.
	 * @return several lines
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
	 * Goodput under one load.
	 *
	 * @param strategy how requests were routed
	 * @param offered the offered load over the capacity
	 * @param goodput answers in time over the capacity
	 * @param answerP99Millis the 99th percentile of the latency of answers
	 * @param refusalP99Millis the 99th percentile of the time until a refusal, 0 when
	 * there was none
	 */
	public record Load(String strategy, double offered, double goodput, double answerP99Millis,
			double refusalP99Millis) {

	}

	/**
	 * Attempts while a third of the targets fails.
	 *
	 * @param strategy how requests were routed
	 * @param attemptsPerRequest dispatches that reached a target over requests
	 * @param answered the share of requests that were answered
	 */
	public record BrownOut(String strategy, double attemptsPerRequest, double answered) {

	}

	/**
	 * How soon a target gets nothing new.
	 *
	 * @param event what happened to it
	 * @param millis the time until its last dispatch
	 */
	public record Withdrawal(String event, double millis) {

	}

	/**
	 * Latency that the entry adds over loopback.
	 *
	 * @param kind what was called
	 * @param directP50Millis the median of direct calls
	 * @param directP99Millis the 99th percentile of direct calls
	 * @param addedP50Millis the median over that of direct calls
	 * @param addedP99Millis the 99th percentile over that of direct calls
	 */
	public record Overhead(String kind, double directP50Millis, double directP99Millis, double addedP50Millis,
			double addedP99Millis) {

	}

}
