package org.apricotstack.core.engine;

/**
 * Estimates the value of an answer from the length of its prompt.
 *
 * <p>The published configuration ranks routes but does not say what an answer is worth. Users value the answer to a
 * long prompt more, about in proportion to its length with a fixed part for the shortest; an answer that is late keeps
 * a quarter of its value, and one whose caller has disconnected keeps none.
 */
public final class PromptValue {

    /** Share of the value that is lost if an answer is late. */
    public static final double LATE_LOSS_SHARE = 0.75;

    /**
     * Prompts up to this length are short: their prefill takes less time than the token gap target of a short answer.
     */
    public static final long SHORT_TOKENS = 24_000;

    /** Value of an answer to an empty prompt; on this scale a short question of 5,000 tokens has about 1.3. */
    private static final double BASE = 0.7;

    /** Prompt tokens that add 1 to the value. */
    private static final double TOKENS_PER_UNIT = 8_000;

    /** Callers disconnect after a token gap of two seconds, or of eight times the target if that is longer. */
    private static final double MIN_PATIENCE_MILLIS = 2_000;

    private static final double PATIENCE_PER_TOKEN_GAP_TARGET = 8;

    private static final double PATIENCE_PER_LATENCY_TARGET = 4;

    /**
     * Share lost for each multiple of the target that a caller waits; prefers the faster of two choices that are both
     * safe.
     */
    private static final double LOSS_PER_TARGET_WAITED = 0.08;

    private PromptValue() {}

    /**
     * Returns the value of an answer that is on time.
     *
     * @param promptTokens tokens of the prompt
     * @return the value
     */
    public static double of(long promptTokens) {
        return BASE + promptTokens / TOKENS_PER_UNIT;
    }

    /**
     * Estimates the share of an answer's value that is lost by the wait for the first event.
     *
     * @param waitMillis the wait from now, in milliseconds
     * @param targetMillis target for the wait from now, in milliseconds
     * @param waitedMillis how long the caller has waited already, in milliseconds
     * @return 0 to 1, and slightly more for each further target that passes
     */
    static double waitLoss(double waitMillis, double targetMillis, double waitedMillis) {
        double totalTargetMillis = targetMillis + waitedMillis;
        double patience = Math.max(
                1, Math.max(MIN_PATIENCE_MILLIS, PATIENCE_PER_LATENCY_TARGET * totalTargetMillis) - waitedMillis);
        return LATE_LOSS_SHARE * Lateness.probability(waitMillis, targetMillis, Lateness.WAIT_SPREAD)
                + (1 - LATE_LOSS_SHARE) * Lateness.probability(waitMillis, patience, Lateness.WAIT_SPREAD)
                + LOSS_PER_TARGET_WAITED * waitMillis / totalTargetMillis;
    }

    /**
     * Estimates the share of an answer's value that is lost by a token gap.
     *
     * @param tokenGapMillis the token gap, in milliseconds
     * @param tokenGapTargetMillis target for the longest token gap, in milliseconds; 0 if there is none
     * @param spread spread of the prediction error relative to the target
     * @return 0 to 1
     */
    static double tokenGapLoss(double tokenGapMillis, double tokenGapTargetMillis, double spread) {
        double patience = Math.max(MIN_PATIENCE_MILLIS, PATIENCE_PER_TOKEN_GAP_TARGET * tokenGapTargetMillis);
        return LATE_LOSS_SHARE * Lateness.probability(tokenGapMillis, tokenGapTargetMillis, spread)
                + (1 - LATE_LOSS_SHARE) * Lateness.probability(tokenGapMillis, patience, Lateness.WAIT_SPREAD);
    }
}
