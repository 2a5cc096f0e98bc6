package org.apricotstack.core.dispatch;

import java.util.Arrays;

/**
 * Predicts prefill and decode times of one engine from its own replies, as nobody can supply figures for the engines.
 *
 * <p>Medians over the last replies are used: a single stalled reply does not move them, and an engine that becomes
 * slow moves them after half the window.
 */
public final class TimePredictor {

    /** Replies that are remembered. */
    private static final int WINDOW = 16;

    /** Replies that are needed before a prediction may turn a request away. */
    private static final int MIN_SAMPLES = 8;

    /** Prefill rate that is assumed before the first reply, in tokens a millisecond. */
    private static final double INITIAL_PREFILL_RATE = 20;

    /** Decode time that is assumed before the first reply, in milliseconds a token. */
    private static final double INITIAL_DECODE_MILLIS = 20;

    private final Samples prefillRate = new Samples(INITIAL_PREFILL_RATE);
    private final Samples decodeMillis = new Samples(INITIAL_DECODE_MILLIS);

    /**
     * Learns from a first token.
     *
     * @param computedTokens prompt tokens that were computed, with those of requests ahead in the same engine
     * @param millis time from the start of the attempt to its first token
     */
    public void recordPrefill(long computedTokens, double millis) {
        if (computedTokens > 0 && millis > 0) {
            prefillRate.add(computedTokens / millis);
        }
    }

    /**
     * Learns from the end of an answer.
     *
     * @param tokens tokens after the first
     * @param millis time from the first token to the end
     */
    public void recordDecode(long tokens, double millis) {
        if (tokens > 0) {
            decodeMillis.add(millis / tokens);
        }
    }

    /**
     * Predicts a prefill.
     *
     * @param tokens tokens to compute
     * @return the time in milliseconds
     */
    public double prefillMillis(long tokens) {
        return tokens / prefillRate.median();
    }

    /**
     * Predicts a decode.
     *
     * @param tokens tokens of the answer
     * @return the time in milliseconds
     */
    public double decodeMillis(long tokens) {
        return tokens * decodeMillis.median();
    }

    /**
     * Tells whether enough was learned to turn requests away.
     *
     * @return whether the predictions rest on replies
     */
    public boolean hasEnoughSamples() {
        return prefillRate.count >= MIN_SAMPLES && decodeMillis.count >= MIN_SAMPLES;
    }

    /** The last samples of one figure. */
    private static final class Samples {
        private final double first;
        private final double[] values = new double[WINDOW];
        private int count;
        private double median;

        /** Creates an empty window. */
        private Samples(double first) {
            this.first = first;
            this.median = first;
        }

        /** Adds a sample and recomputes the median. */
        private void add(double value) {
            values[count % WINDOW] = value;
            count++;
            double[] sorted = Arrays.copyOf(values, Math.min(count, WINDOW));
            Arrays.sort(sorted);
            median = sorted[sorted.length / 2];
        }

        /** Returns the median, or the first guess. */
        private double median() {
            return count == 0 ? first : median;
        }
    }
}
