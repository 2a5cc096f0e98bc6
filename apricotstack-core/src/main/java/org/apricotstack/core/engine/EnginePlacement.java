package org.apricotstack.core.engine;

import java.util.List;

/**
 * A decision that some engines run a request.
 *
 * @param id names the decision
 * @param parts what each engine does; the first writes the answer, the others help to read
 * @param contextTokens tokens of the prompt
 * @param targetLatencyMillis time to the first event that is on time, from the decision, in milliseconds
 * @param tokenGapTargetMillis longest pause in its stream that is on time, in milliseconds
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
     * Returns the part of the engine that writes the answer.
     *
     * @return the first part
     */
    public EnginePart lead() {
        return parts.get(0);
    }

    /**
     * Tells whether several engines read its prompt.
     *
     * @return whether it has helpers
     */
    public boolean isShared() {
        return parts.size() > 1;
    }

    /**
     * Tells whether its prompt is short.
     *
     * @return whether it has at most {@link PromptValue#SHORT_TOKENS}
     */
    public boolean isShort() {
        return contextTokens <= PromptValue.SHORT_TOKENS;
    }

    /**
     * Values its answer.
     *
     * @return the value on time, in the units of {@link PromptValue}
     */
    public double value() {
        return PromptValue.of(contextTokens);
    }
}
