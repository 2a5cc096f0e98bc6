package org.apricotstack.core.engine;

import java.util.List;

/**
 * The engines chosen for a prompt, with the figures behind the choice.
 *
 * @param parts the part of each engine; the first one decodes the answer; empty if no engine can run the prompt in
 *     time
 * @param firstTokenMillis predicted time to the first event, in milliseconds
 * @param tokenGapMillis predicted longest token gap that the placement causes on its engines, in milliseconds
 * @param cost expected total loss of value, including that of the prompt's own answer
 * @param costToOthers the part of the cost that other requests bear
 * @param reservesMemory whether memory must be reserved on the helpers, as the lead engine cannot hold the prompt
 */
public record PlacementChoice(
        List<EnginePart> parts,
        double firstTokenMillis,
        double tokenGapMillis,
        double cost,
        double costToOthers,
        boolean reservesMemory) {

    /** Copies the list. */
    public PlacementChoice {
        parts = List.copyOf(parts);
    }

    /**
     * Returns the same choice at a higher cost to others.
     *
     * @param price the additional cost
     * @return the choice
     */
    PlacementChoice withAddedCost(double price) {
        return new PlacementChoice(
                parts, firstTokenMillis, tokenGapMillis, cost + price, costToOthers + price, reservesMemory);
    }

    /**
     * Tells whether engines were found.
     *
     * @return whether the prompt can be placed
     */
    public boolean found() {
        return !parts.isEmpty();
    }
}
