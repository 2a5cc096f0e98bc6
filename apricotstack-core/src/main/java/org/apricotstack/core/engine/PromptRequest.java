package org.apricotstack.core.engine;

/**
 * What placing a prompt depends on.
 *
 * @param promptTokens tokens of the prompt
 * @param answerTokens tokens of the answer, at most
 * @param targetLatencyMillis time to the first event that is on time, from now, in milliseconds
 * @param tokenGapTargetMillis longest pause between events that is on time, in milliseconds
 * @param patienceMillis time to the first event after which the caller leaves, from now, in milliseconds
 * @param waitedMillis how long the caller has waited already, in milliseconds
 */
public record PromptRequest(
        long promptTokens,
        long answerTokens,
        long targetLatencyMillis,
        long tokenGapTargetMillis,
        long patienceMillis,
        long waitedMillis) {}
