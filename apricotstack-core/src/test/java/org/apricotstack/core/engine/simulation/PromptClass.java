package org.apricotstack.core.engine.simulation;

/**
 * One kind of prompts of a played load.
 *
 * @param ratePerSecond prompts a second
 * @param meanTokens mean length, in tokens
 * @param spread standard deviation of the length in relation to its mean
 * @param maxTokens greatest length, in tokens
 * @param meanEvents mean number of events of an answer
 * @param targetMillis time to the first event that is on time, in milliseconds
 * @param tokenGapTargetMillis longest pause that is on time, in milliseconds
 * @param limitMillis time after which the caller leaves in any case, in milliseconds
 * @param value what an answer on time is value to its caller, at the mean length
 */
record PromptClass(
        double ratePerSecond,
        double meanTokens,
        double spread,
        double maxTokens,
        double meanEvents,
        double targetMillis,
        double tokenGapTargetMillis,
        double limitMillis,
        double value) {

    private static final double MIN_PATIENCE_MILLIS = 2_000;

    /** Returns how long callers wait for the first event. */
    double patienceMillis() {
        double longest = Math.max(4 * targetMillis, 8 * tokenGapTargetMillis);
        return Math.min(limitMillis, Math.max(MIN_PATIENCE_MILLIS, longest));
    }
}
