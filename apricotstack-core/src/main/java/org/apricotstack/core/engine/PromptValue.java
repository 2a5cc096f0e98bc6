package org.apricotstack.core.engine;

/**
 * Values an answer by the length of its prompt.
 *
 * <p>The published configuration ranks routes but does not say what an answer is worth. Users value the answer to a
 * long prompt more, about in proportion to its length with a fixed part for the shortest; an answer that is late keeps
 * a quarter of its value, and one that the caller no longer waits for keeps none.
 */
public final class PromptValue {

    /** Share of the value that is lost if an answer is late. */
    public static final double LATE_LOSS_SHARE = 0.75;

    /** Prompts up to this length are short: prefill one takes less than a short writer's allowed pause. */
    public static final long SHORT_TOKENS = 24_000;

    /** Value of an answer to an empty prompt; in the unit in which a short question of 5,000 tokens has about 1.3. */
    private static final double BASE = 0.7;

    /** Prompt tokens that add 1 to the value. */
    private static final double TOKENS_PER_UNIT = 8_000;

    /** Callers leave a stream after a pause of two seconds, or eight times the allowed one if that is longer. */
    private static final double MIN_PATIENCE_MILLIS = 2_000;

    private static final double PATIENCE_PER_TOKEN_GAP_TARGET = 8;

    private static final double PATIENCE_PER_LATENCY_TARGET = 4;

    /** Share counted for each whole target that a caller waits; prefers the faster of two safe choices. */
    private static final double LOSS_PER_TARGET_WAITED = 0.08;

    private PromptValue() {}

    /**
     * Values an answer.
     *
     * @param promptTokens tokens of the prompt
     * @return the value of an answer on time
     */
    public static double of(long promptTokens) {
        return BASE + promptTokens / TOKENS_PER_UNIT;
    }

    /**
     * Estimates the share of an answer's value that waiting for the first event costs.
     *
     * @param waitMillis the wait from now, in milliseconds
     * @param targetMillis wait from now that is on time, in milliseconds
     * @param waitedMillis how long the caller has waited already, in milliseconds
     * @return 0 to 1, and a little more for each further target that batching
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
     * Estimates the share of an answer's value that a pause costs.
     *
     * @param tokenGapMillis the pause, in milliseconds
     * @param tokenGapTargetMillis longest pause that is on time, in milliseconds; 0 if any is
     * @param spread spread of the prediction's error in relation to the target
     * @return 0 to 1
     */
    static double tokenGapLoss(double tokenGapMillis, double tokenGapTargetMillis, double spread) {
        double patience = Math.max(MIN_PATIENCE_MILLIS, PATIENCE_PER_TOKEN_GAP_TARGET * tokenGapTargetMillis);
        return LATE_LOSS_SHARE * Lateness.probability(tokenGapMillis, tokenGapTargetMillis, spread)
                + (1 - LATE_LOSS_SHARE) * Lateness.probability(tokenGapMillis, patience, Lateness.WAIT_SPREAD);
    }
}
