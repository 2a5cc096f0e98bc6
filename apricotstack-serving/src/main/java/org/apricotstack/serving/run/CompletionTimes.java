package org.apricotstack.serving.run;

import java.util.HashMap;
import java.util.Map;

import com.codahale.metrics.SlidingWindowReservoir;
import org.apricotstack.core.engine.EngineLoad;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.time.StallDetector;

/**
 * Estimates how long requests take at most.
 *
 * <p>Only the limit of an answer's length is known in advance. So an engine is assumed to decode up to that limit, at
 * its predicted pace or at that of the slowest answer that this router completed recently. A plain service is assumed
 * to take as long as its slowest recent answer.
 */
final class CompletionTimes {

    /** Number of recent requests of a service that are kept. */
    private static final int WINDOW = 512;

    /** Requests of a service below which its latency target, or the predicted pace of an engine, is used instead. */
    private static final int MIN_RECORDED = 32;

    /** Assumed longest answer of a plain service without enough records, in latency targets. */
    private static final long PLAIN_LATENCY_TARGETS = 4;

    /** Factor of the predicted pace of an engine that covers the prefill of other prompts meanwhile. */
    private static final double PREFILL_FACTOR = 1.25;

    /** The same for the usual time; an answer that ends before its limit has time to spare. */
    private static final double USUAL_PREFILL_FACTOR = (1 + PREFILL_FACTOR) / 2;

    /** Share of the recent answers that are faster than the slowest one that counts, except for engines. */
    private static final double SLOWEST_SHARE = 0.99;

    /** Answers whose limit is below the usual length divided by this count as short. */
    private static final int SHORT_DIVISOR = 4;

    private static final double MICROS_PER_MILLI = 1_000;

    private final EngineLoadTable loadTable;
    private final StallDetector stalls;
    private final Map<ServiceId, SlidingWindowReservoir> recordedMicros = new HashMap<>();
    private final Map<ServiceId, SlidingWindowReservoir> shortMicros = new HashMap<>();

    /** Creates estimates without records. */
    CompletionTimes(EngineLoadTable loadTable, StallDetector stalls) {
        this.loadTable = loadTable;
        this.stalls = stalls;
    }

    /**
     * Records a request that one attempt completed; that of an engine relative to the limit of its answer, unless the
     * answer is short: most of its time is not spent on tokens. A request during which this process stalled tells
     * nothing about its upstream.
     */
    void completed(RequestFacts facts, double predictedMillis, long startMillis, long nowMillis) {
        if (stalls.stalledSince(startMillis, nowMillis)) {
            return;
        }
        double millis = Math.max(0, nowMillis - startMillis - predictedMillis);
        if (isShort(facts)) {
            record(shortMicros, facts, millis);
        } else {
            record(recordedMicros, facts, millis / (facts.runsOnEngines() ? Math.max(1, facts.answerTokens()) : 1));
        }
    }

    /** Adds a record of a request's service. */
    private static void record(Map<ServiceId, SlidingWindowReservoir> records, RequestFacts facts, double millis) {
        records.computeIfAbsent(facts.service(), service -> new SlidingWindowReservoir(WINDOW))
                .update(Math.round(millis * MICROS_PER_MILLI));
    }

    /** Returns whether the limit of an engine's answer is far below the usual length. */
    private static boolean isShort(RequestFacts facts) {
        return facts.runsOnEngines()
                && SHORT_DIVISOR * facts.answerTokens()
                        < facts.profile().engine().orElseThrow().meanAnswerTokens();
    }

    /** Estimates the shortest time of the longest answer to a request, in milliseconds; its deadline bounds it. */
    long leastMillis(RequestFacts facts, long nowMillis) {
        double millis = facts.runsOnEngines()
                ? facts.answerTokens() * facts.profile().engine().orElseThrow().decodeStepMillis()
                : plainMillis(facts, 0);
        return Math.min(facts.remainingMillis(nowMillis), Math.round(millis));
    }

    /** Estimates the longest time of a request at the chosen upstream, in milliseconds; its deadline bounds it. */
    long longestMillis(RequestFacts facts, UpstreamChoice choice, long nowMillis) {
        return longestMillis(facts, 0, choice, 0, nowMillis);
    }

    /** Estimates the same for a stream of which some tokens were already forwarded. */
    long longestMillis(RequestFacts facts, long forwardedTokens, UpstreamChoice choice, long nowMillis) {
        return longestMillis(facts, forwardedTokens, choice, 0, nowMillis);
    }

    /** Estimates the same for an upstream that is silent once for the given time. */
    long longestMillis(
            RequestFacts facts, long forwardedTokens, UpstreamChoice choice, long silenceMillis, long nowMillis) {
        double millis = plainMillis(facts, silenceMillis);
        if (facts.runsOnEngines()) {
            long tokens = remainingTokens(facts, forwardedTokens);
            millis = choice.predictedMillis() + decodeMillis(facts, tokens, choice) + silenceMillis;
        }
        return Math.min(facts.remainingMillis(nowMillis), Math.round(millis));
    }

    /** Returns the length of the longest rest of an answer, in tokens. */
    private static long remainingTokens(RequestFacts facts, long forwardedTokens) {
        return Math.max(1, facts.answerTokens() - forwardedTokens);
    }

    /**
     * Estimates the time in which nearly all such requests are completed at the chosen upstream, in milliseconds. Few
     * answers reach the limit of their length, which the longest time assumes of each.
     */
    long usualMillis(RequestFacts facts, UpstreamChoice choice, long nowMillis) {
        return usualMillis(facts, 0, choice, nowMillis);
    }

    /** Estimates the same for a stream of which some tokens were already forwarded. */
    long usualMillis(RequestFacts facts, long forwardedTokens, UpstreamChoice choice, long nowMillis) {
        long longestMillis = longestMillis(facts, forwardedTokens, choice, nowMillis);
        if (!facts.runsOnEngines() || isShort(facts)) {
            return longestMillis;
        }
        SlidingWindowReservoir recorded = recordedMicros.get(facts.service());
        double millisPerToken = recorded != null && recorded.size() >= MIN_RECORDED
                ? slowestMillis(recorded, SLOWEST_SHARE)
                : USUAL_PREFILL_FACTOR * predictedMillisPerToken(facts, choice);
        long tokens = remainingTokens(facts, forwardedTokens);
        return Math.min(longestMillis, Math.round(choice.predictedMillis() + tokens * millisPerToken));
    }

    /** Returns the predicted pace of the chosen engine, in milliseconds per token. */
    private double predictedMillisPerToken(RequestFacts facts, UpstreamChoice choice) {
        EngineLoad load = loadTable.load(choice.upstream().id());
        // The load of an engine that is no longer listed may have been forgotten.
        load.profile(facts.profile().engine().orElseThrow());
        return load.decodeMillisPerToken(facts.request().promptTokens());
    }

    /** Estimates the longest time after the first event of the answer of the chosen engine, in milliseconds. */
    private double decodeMillis(RequestFacts facts, long tokens, UpstreamChoice choice) {
        double millisPerToken = PREFILL_FACTOR * predictedMillisPerToken(facts, choice);
        double predicted = tokens * millisPerToken;
        double recorded =
                isShort(facts) ? slowestMillis(shortMicros, facts) : tokens * slowestMillis(recordedMicros, facts);
        return Math.max(predicted, recorded);
    }

    /**
     * Estimates the longest time of an answer of a plain service, in milliseconds. The time that is assumed without
     * enough records covers a silence as far as it exceeds the latency target.
     */
    private double plainMillis(RequestFacts facts, long silenceMillis) {
        SlidingWindowReservoir recorded = recordedMicros.get(facts.service());
        if (recorded != null && recorded.size() >= MIN_RECORDED) {
            return slowestMillis(recordedMicros, facts) + silenceMillis;
        }
        long targetMillis = facts.route().targetLatencyMillis();
        return Math.max(PLAIN_LATENCY_TARGETS * targetMillis, targetMillis + silenceMillis);
    }

    /** Returns the given quantile of the records, in milliseconds; 0 without records. */
    private static double slowestMillis(SlidingWindowReservoir recorded, double share) {
        return recorded == null ? 0 : recorded.getSnapshot().getValue(share) / MICROS_PER_MILLI;
    }

    /** Returns the slowest record of the request's service that counts, in milliseconds; 0 without records. */
    private static double slowestMillis(Map<ServiceId, SlidingWindowReservoir> records, RequestFacts facts) {
        SlidingWindowReservoir recorded = records.get(facts.service());
        return slowestMillis(recorded, facts.runsOnEngines() ? 1 : SLOWEST_SHARE);
    }
}
