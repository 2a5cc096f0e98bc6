package org.apricotstack.core.engine.simulation;

/**
 * One class of prompts of a simulated load.
 *
 * @param ratePerSecond prompts a second
 * @param meanTokens mean length, in tokens
 * @param spread standard deviation of the length relative to its mean
 * @param maxTokens maximum length, in tokens
 * @param meanEvents mean number of events of an answer
 * @param targetMillis target for the time to the first event, in milliseconds
 * @param tokenGapTargetMillis target for the longest token gap, in milliseconds
 * @param limitMillis time after which the caller disconnects in any case, in milliseconds
 * @param value value of an answer on time to its caller, at the mean length
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
