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

    /** Prompts up to this length are short: reading one takes less than a short writer's allowed pause. */
    public static final long SHORT_TOKENS = 24_000;

    /** Value of an answer to an empty prompt; in the unit in which a short question of 5,000 tokens has about 1.3. */
    private static final double BASE = 0.7;

    /** Prompt tokens that add 1 to the value. */
    private static final double TOKENS_PER_UNIT = 8_000;

    /** Callers leave a stream after a pause of two seconds, or eight times the allowed one if that is longer. */
    private static final double LEAST_PATIENCE_MILLIS = 2_000;

    private static final double PAUSES_OF_PATIENCE = 8;

    private static final double TARGETS_OF_PATIENCE = 4;

    /** Share counted for each whole target that a caller waits; prefers the faster of two safe choices. */
    private static final double LOST_PER_TARGET = 0.08;

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
     * @return 0 to 1, and a little more for each further target that passes
     */
    static double lossByWait(double waitMillis, double targetMillis, double waitedMillis) {
        double whole = targetMillis + waitedMillis;
        double patience = Math.max(1, Math.max(LEAST_PATIENCE_MILLIS, TARGETS_OF_PATIENCE * whole) - waitedMillis);
        return LATE_LOSS_SHARE * Lateness.probability(waitMillis, targetMillis, Lateness.WAIT_SPREAD)
                + (1 - LATE_LOSS_SHARE) * Lateness.probability(waitMillis, patience, Lateness.WAIT_SPREAD)
                + LOST_PER_TARGET * waitMillis / whole;
    }

    /**
     * Estimates the share of an answer's value that a pause costs.
     *
     * @param pauseMillis the pause, in milliseconds
     * @param tokenGapTargetMillis longest pause that is on time, in milliseconds; 0 if any is
     * @param spread spread of the prediction's error in relation to the target
     * @return 0 to 1
     */
    static double lossByPause(double pauseMillis, double tokenGapTargetMillis, double spread) {
        double patience = Math.max(LEAST_PATIENCE_MILLIS, PAUSES_OF_PATIENCE * tokenGapTargetMillis);
        return LATE_LOSS_SHARE * Lateness.probability(pauseMillis, tokenGapTargetMillis, spread)
                + (1 - LATE_LOSS_SHARE) * Lateness.probability(pauseMillis, patience, Lateness.WAIT_SPREAD);
    }
}
