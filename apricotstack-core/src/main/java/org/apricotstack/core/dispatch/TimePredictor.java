package org.apricotstack.core.dispatch;

import java.util.Arrays;

/**
 * Predicts prefill and decode times of one engine from its own replies, as no published figures of the engines are
 * available.
 *
 * <p>The predictions use the median of the last replies: a single stalled reply does not change it, and an engine that
 * becomes slow changes it after half the window.
 */
public final class TimePredictor {

    /** Number of replies in the window. */
    private static final int WINDOW = 16;

    /** Minimum number of replies before a prediction may cause a refusal. */
    private static final int MIN_SAMPLES = 8;

    /** Prefill rate assumed before the first reply, in tokens per millisecond. */
    private static final double INITIAL_PREFILL_RATE = 20;

    /** Decode time assumed before the first reply, in milliseconds per token. */
    private static final double INITIAL_DECODE_MILLIS = 20;

    private final Samples prefillRate = new Samples(INITIAL_PREFILL_RATE);
    private final Samples decodeMillis = new Samples(INITIAL_DECODE_MILLIS);

    /**
     * Records the prefill time of a reply.
     *
     * @param computedTokens prompt tokens that were computed, including those of earlier requests in the same engine
     * @param millis time from the start of the attempt to its first token
     */
    public void recordPrefill(long computedTokens, double millis) {
        if (computedTokens > 0 && millis > 0) {
            prefillRate.add(computedTokens / millis);
        }
    }

    /**
     * Records the decode time of a reply.
     *
     * @param tokens tokens after the first one
     * @param millis time from the first token to the end
     */
    public void recordDecode(long tokens, double millis) {
        if (tokens > 0) {
            decodeMillis.add(millis / tokens);
        }
    }

    /**
     * Predicts the time of a prefill.
     *
     * @param tokens tokens to compute
     * @return the time in milliseconds
     */
    public double prefillMillis(long tokens) {
        return tokens / prefillRate.median();
    }

    /**
     * Predicts the time of a decode.
     *
     * @param tokens tokens of the answer
     * @return the time in milliseconds
     */
    public double decodeMillis(long tokens) {
        return tokens * decodeMillis.median();
    }

    /**
     * Tells whether there are enough samples to refuse requests on a prediction.
     *
     * @return whether the predictions are based on replies
     */
    public boolean hasEnoughSamples() {
        return prefillRate.count >= MIN_SAMPLES && decodeMillis.count >= MIN_SAMPLES;
    }

    /** A sliding window of the last samples of one quantity. */
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

        /** Returns the median, or the initial value if there are no samples. */
        private double median() {
            return count == 0 ? first : median;
        }
    }
}
