package org.apricotstack.core.engine;

import java.util.List;

/**
 * A decision that certain engines run a request.
 *
 * @param id identifies the decision
 * @param parts the part of each engine; the first one decodes the answer, the others help with the prefill
 * @param contextTokens tokens of the prompt
 * @param targetLatencyMillis target for the time to the first event, measured from the decision, in milliseconds
 * @param tokenGapTargetMillis target for the longest token gap in the stream, in milliseconds
 */
public record EnginePlacement(
        PlacementId id,
        List<EnginePart> parts,
        long contextTokens,
        long targetLatencyMillis,
        long tokenGapTargetMillis) {

    /** Copies the list. */
    public EnginePlacement {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the part of the lead engine, which decodes the answer.
     *
     * @return the first part
     */
    public EnginePart lead() {
        return parts.get(0);
    }

    /**
     * Tells whether several engines share the prefill.
     *
     * @return whether it has helpers
     */
    public boolean isShared() {
        return parts.size() > 1;
    }

    /**
     * Tells whether the prompt is short.
     *
     * @return whether it has at most {@link PromptValue#SHORT_TOKENS}
     */
    public boolean isShort() {
        return contextTokens <= PromptValue.SHORT_TOKENS;
    }

    /**
     * Returns the value of the answer.
     *
     * @return the value if it is on time, in the units of {@link PromptValue}
     */
    public double value() {
        return PromptValue.of(contextTokens);
    }
}
