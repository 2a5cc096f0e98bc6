package org.apricotstack.bench.replay;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.configuration.LengthClass;

/** Summary of the results of a replay. */
public final class ReplayReport {

    private static final double MAX_MILLIS = 3_600_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double HUNDREDTHS = 100;

    private final Map<LengthClass, Histogram> firstToken = new EnumMap<>(LengthClass.class);
    private final Map<LengthClass, Histogram> slowdown = new EnumMap<>(LengthClass.class);
    private final Map<ReplayOutcome, Integer> outcomes = new EnumMap<>(ReplayOutcome.class);
    private final Map<String, Integer> codes = new TreeMap<>();
    private final List<ReplayResult> unexpected = new ArrayList<>();
    private int total;

    /**
     * Summarizes results.
     *
     * @param results the results
     * @param limits limits of the length classes
     * @param speed speed of the engines, for the time to first token on an idle engine
     * @param pace speed of the engines relative to the model
     */
    public ReplayReport(List<ReplayResult> results, FleetLimits limits, EngineSpeed speed, double pace) {
        for (LengthClass lengthClass : LengthClass.values()) {
            firstToken.put(lengthClass, new Histogram((long) MAX_MILLIS, SIGNIFICANT_DIGITS));
            slowdown.put(lengthClass, new Histogram((long) MAX_MILLIS, SIGNIFICANT_DIGITS));
        }
        for (ReplayResult result : results) {
            add(result, limits, speed, pace);
        }
    }

    /** Adds one result. */
    private void add(ReplayResult result, FleetLimits limits, EngineSpeed speed, double pace) {
        total++;
        outcomes.merge(result.outcome(), 1, Integer::sum);
        if (!result.code().isEmpty()) {
            codes.merge(result.code(), 1, Integer::sum);
        }
        if (!result.isExpected()) {
            unexpected.add(result);
        }
        if (result.outcome() == ReplayOutcome.COMPLETED && result.record().inputTokens() > 0) {
            LengthClass lengthClass = limits.lengthClass(result.record().inputTokens());
            double millis = Math.min(MAX_MILLIS, Math.max(0, result.firstTokenMillis()));
            double idle = speed.idleFirstTokenMillis(result.record().inputTokens()) / pace;
            firstToken.get(lengthClass).recordValue(Math.round(millis));
            slowdown.get(lengthClass)
                    .recordValue(Math.round(Math.min(MAX_MILLIS, HUNDREDTHS * Math.max(1, millis / idle))));
        }
    }

    /**
     * Returns a percentile of the time to first token.
     *
     * @param lengthClass the class
     * @param percentile 0 to 100
     * @return milliseconds
     */
    public long firstTokenMillis(LengthClass lengthClass, double percentile) {
        return firstToken.get(lengthClass).getValueAtPercentile(percentile);
    }

    /**
     * Returns a percentile of the slowdown: the time to first token divided by that on an idle engine.
     *
     * @param lengthClass the class
     * @param percentile 0 to 100
     * @return the factor
     */
    public double slowdown(LengthClass lengthClass, double percentile) {
        return slowdown.get(lengthClass).getValueAtPercentile(percentile) / HUNDREDTHS;
    }

    /**
     * Returns the results with an unexpected outcome.
     *
     * @return the results
     */
    public List<ReplayResult> unexpected() {
        return unexpected;
    }

    /**
     * Returns the number of requests with an outcome.
     *
     * @param outcome the outcome
     * @return the number
     */
    public int count(ReplayOutcome outcome) {
        return outcomes.getOrDefault(outcome, 0);
    }

    /**
     * Formats the report as a Markdown table.
     *
     * @return lines of text
     */
    public String table() {
        StringBuilder text = new StringBuilder();
        text.append("| prompts | answered | first token p50 ms | p95 ms | p99 ms | slowdown p50 | p95 | p99 |\n");
        text.append("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: |\n");
        for (LengthClass lengthClass : LengthClass.values()) {
            text.append(String.format(
                    Locale.ROOT,
                    "| %s | %d | %d | %d | %d | %.2f | %.2f | %.2f |%n",
                    lengthClass.name().toLowerCase(Locale.ROOT),
                    firstToken.get(lengthClass).getTotalCount(),
                    firstTokenMillis(lengthClass, 50),
                    firstTokenMillis(lengthClass, 95),
                    firstTokenMillis(lengthClass, 99),
                    slowdown(lengthClass, 50),
                    slowdown(lengthClass, 95),
                    slowdown(lengthClass, 99)));
        }
        text.append("\nOutcomes of ")
                .append(total)
                .append(" requests: ")
                .append(outcomes)
                .append('\n');
        text.append("Refusals and failures by code: ").append(codes).append('\n');
        text.append("Unexpected outcomes: ").append(unexpected.size()).append('\n');
        unexpected.stream().limit(10).forEach(result -> text.append("  ")
                .append(result.record().service())
                .append(' ')
                .append(result.record().inputTokens())
                .append(" tokens: ")
                .append(result.outcome())
                .append(' ')
                .append(result.code())
                .append('\n'));
        return text.toString();
    }
}
