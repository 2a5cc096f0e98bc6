package org.apricotstack.core.engine;

/**
 * The properties of a prompt that its placement depends on.
 *
 * @param promptTokens tokens of the prompt
 * @param answerTokens maximum number of tokens of the answer
 * @param targetLatencyMillis target for the time to the first event, from now, in milliseconds
 * @param tokenGapTargetMillis target for the longest token gap, in milliseconds
 * @param patienceMillis time until the caller disconnects if there is no first event, from now, in milliseconds
 * @param waitedMillis how long the caller has waited already, in milliseconds
 */
public record PromptRequest(
        long promptTokens,
        long answerTokens,
        long targetLatencyMillis,
        long tokenGapTargetMillis,
        long patienceMillis,
        long waitedMillis) {}
