package org.apricotstack.core.engine;

/**
 * Values an answer by the length of its prompt.
 *
 * <p>The published configuration ranks routes but does not say what an answer is worth. Users value the answer to a
 * long prompt more, about in proportion to its length with a fixed part for the shortest; an answer that is late keeps
 * a quarter of its value.
 */
public final class PromptValue {

    /** Share of the value that is lost if an answer is late. */
    public static final double LOST_WHEN_LATE = 0.75;

    /** Value of an answer to an empty prompt; in the unit in which a short question of 5,000 tokens has about 1.3. */
    private static final double BASE = 0.7;

    /** Prompt tokens that add 1 to the value; fits 1.3 at 5,000 and 20 at 154,000 tokens. */
    private static final double TOKENS_PER_UNIT = 8_000;

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
}
