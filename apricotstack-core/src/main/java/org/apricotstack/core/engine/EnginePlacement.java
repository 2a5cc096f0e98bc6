package org.apricotstack.core.engine;

import java.util.List;

/**
 * A decision that some engines run a request.
 *
 * @param id names the decision
 * @param parts what each engine does; the first writes the answer, the others help to read
 * @param contextTokens tokens of the prompt
 * @param pauseTargetMillis longest pause in its stream that is on time, in milliseconds
 * @param value worth of an answer on time, in the units of {@link PromptValue}
 */
public record EnginePlacement(
        PlacementId id, List<EnginePart> parts, long contextTokens, long pauseTargetMillis, double value) {

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
}
