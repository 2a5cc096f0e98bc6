package org.apricotstack.bench.experiment;

import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.apricotstack.bench.deployment.DeploymentDocuments;
import org.apricotstack.bench.engine.EngineSpeed;
import org.apricotstack.bench.trace.TraceGenerator;
import org.apricotstack.bench.trace.TraceOptions;
import org.apricotstack.bench.trace.TraceRecord;
import org.apricotstack.core.configuration.FleetLimits;
import org.apricotstack.core.configuration.LengthClass;

/** Compares policies on the same trace at a given share of the measured capacity. */
public final class PolicyExperiment {

    private static final int ENGINES = 14;
    private static final int REQUESTS = 6_000;
    private static final double TRACE_RATE = 100;
    private static final long MAX_MILLIS = 3_600_000;
    private static final double HUNDREDTHS = 100;

    private final long seed;
    private final double load;
    private final long timeLimitMillis;

    /**
     * Creates an experiment.
     *
     * @param seed seed of the trace
     * @param load share of the measured capacity at which requests arrive
     * @param timeLimitMillis time limit of each request
     */
    public PolicyExperiment(long seed, double load, long timeLimitMillis) {
        this.seed = seed;
        this.load = load;
        this.timeLimitMillis = timeLimitMillis;
    }

    /**
     * Runs each policy on the complete trace, and on its short prompts only.
     *
     * @param policies the policies
     * @return a table in Markdown
     */
    public String run(List<Policy> policies) {
        List<TraceRecord> all = TraceGenerator.generate(new TraceOptions(
                seed,
                REQUESTS,
                TRACE_RATE,
                0.02,
                1_000_000,
                0.3,
                0,
                List.of("a", "b", "c"),
                DeploymentDocuments.SERVICES));
        List<TraceRecord> shortPrompts = all.stream()
                .filter(record -> lengthClass(record.inputTokens()) == LengthClass.SHORT)
                .toList();
        double capacity = capacity(all);
        double speedUp = load * capacity / TRACE_RATE;
        StringBuilder table = new StringBuilder(String.format(
                Locale.ROOT,
                "Seed %d, %d engines, %.0f%% of the measured capacity of %.1f requests/s, time limit %d s.%n%n",
                seed,
                ENGINES,
                100 * load,
                capacity,
                timeLimitMillis / 1_000));
        table.append(
                "| policy | completed | refused | expired | late | short p50 ms | p99 ms | p99 without longer ones ");
        table.append("| ratio | medium p95 ms | long p95 ms | all p95 ms | short slowdown p99 |\n");
        table.append("| --- ").append("| ---: ".repeat(12)).append("|\n");
        for (Policy policy : policies) {
            Summary full = new Summary(group(policy).run(all, speedUp, timeLimitMillis));
            Summary shortOnly = new Summary(group(policy).run(shortPrompts, speedUp, timeLimitMillis));
            table.append(row(policy, full, shortOnly));
        }
        return table.toString();
    }

    /** Creates an idle group. */
    private static VirtualGroup group(Policy policy) {
        return new VirtualGroup(policy, FleetLimits.DEFAULT, EngineSpeed.DEFAULT, ENGINES);
    }

    /** Measures the capacity, in requests per second, with all requests queued at the start and none refused. */
    private static double capacity(List<TraceRecord> all) {
        FleetLimits unbounded = new FleetLimits(
                FleetLimits.DEFAULT.shortTokens(),
                FleetLimits.DEFAULT.longTokens(),
                1,
                1,
                1,
                1,
                1,
                Integer.MAX_VALUE,
                Long.MAX_VALUE,
                1,
                0);
        VirtualGroup group = new VirtualGroup(Policy.FIRST_COME_PRIORITIES, unbounded, EngineSpeed.DEFAULT, ENGINES);
        List<VirtualResult> results = group.run(all, REQUESTS, MAX_MILLIS);
        long completed = results.stream()
                .filter(result -> result.end() == VirtualResult.End.COMPLETED)
                .count();
        return completed / group.nowSeconds();
    }

    /** Returns the class of a prompt. */
    private static LengthClass lengthClass(long tokens) {
        return FleetLimits.DEFAULT.lengthClass(tokens);
    }

    /** Formats one row. */
    private String row(Policy policy, Summary full, Summary shortOnly) {
        double p99 = full.firstToken(LengthClass.SHORT, 99);
        double p99ShortOnly = shortOnly.firstToken(LengthClass.SHORT, 99);
        return String.format(
                Locale.ROOT,
                "| %s | %d | %d | %d | %d | %.0f | %.0f | %.0f | %.2f | %.0f | %.0f | %.0f | %.1f |%n",
                policy.name().toLowerCase(Locale.ROOT),
                full.count(VirtualResult.End.COMPLETED),
                full.count(VirtualResult.End.REFUSED),
                full.count(VirtualResult.End.EXPIRED),
                full.late(timeLimitMillis),
                full.firstToken(LengthClass.SHORT, 50),
                p99,
                p99ShortOnly,
                p99 / p99ShortOnly,
                full.firstToken(LengthClass.MEDIUM, 95),
                full.firstToken(LengthClass.LONG, 95),
                full.firstTokenOfAll(95),
                full.shortSlowdown(99));
    }

    /** Summarizes results. */
    private static final class Summary {
        private final List<VirtualResult> results;
        private final Map<LengthClass, Histogram> firstToken = new EnumMap<>(LengthClass.class);
        private final Histogram all = new Histogram(MAX_MILLIS * (long) HUNDREDTHS, 3);
        private final Histogram slowdown = new Histogram(MAX_MILLIS * (long) HUNDREDTHS, 3);

        /** Summarizes results. */
        private Summary(List<VirtualResult> results) {
            this.results = results;
            for (VirtualResult result : results) {
                if (result.end() != VirtualResult.End.COMPLETED) {
                    continue;
                }
                LengthClass lengthClass = lengthClass(result.promptTokens());
                long hundredths = Math.round(result.firstTokenMillis() * HUNDREDTHS);
                firstToken
                        .computeIfAbsent(lengthClass, key -> new Histogram(MAX_MILLIS * (long) HUNDREDTHS, 3))
                        .recordValue(hundredths);
                all.recordValue(hundredths);
                if (lengthClass == LengthClass.SHORT) {
                    slowdown.recordValue(Math.round(HUNDREDTHS * result.firstTokenMillis() / result.idleMillis()));
                }
            }
        }

        /** Returns a percentile of the time to first token of a class, in milliseconds. */
        private double firstToken(LengthClass lengthClass, double percentile) {
            Histogram histogram = firstToken.get(lengthClass);
            return histogram == null ? 0 : histogram.getValueAtPercentile(percentile) / HUNDREDTHS;
        }

        /** Returns a percentile of the time to first token of all, in milliseconds. */
        private double firstTokenOfAll(double percentile) {
            return all.getValueAtPercentile(percentile) / HUNDREDTHS;
        }

        /** Returns a percentile of the slowdown of short prompts. */
        private double shortSlowdown(double percentile) {
            return slowdown.getValueAtPercentile(percentile) / HUNDREDTHS;
        }

        /** Counts the results with an outcome. */
        private long count(VirtualResult.End end) {
            return results.stream().filter(result -> result.end() == end).count();
        }

        /** Counts complete answers after the time limit; a real owner aborts them at the limit. */
        private long late(long limitMillis) {
            return results.stream()
                    .filter(result -> result.end() == VirtualResult.End.COMPLETED)
                    .filter(result -> result.totalMillis() > limitMillis)
                    .count();
        }
    }
}
