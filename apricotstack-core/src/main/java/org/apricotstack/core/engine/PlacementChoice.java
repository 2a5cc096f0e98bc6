package org.apricotstack.core.engine;

import java.util.List;

/**
 * The engines chosen for a prompt, with the figures that decided.
 *
 * @param parts what each engine does; the first writes the answer; empty if no engine can run the prompt in time
 * @param firstTokenMillis predicted time to the first event, in milliseconds
 * @param tokenGapMillis predicted longest pause that the placement makes on its engines, in milliseconds
 * @param cost expected loss of value by it, of the prompt's own answer too
 * @param costToOthers the part of the cost that others bear
 * @param reservesMemory whether memory must be reserved at the helpers, as the first engine cannot hold the prompt
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
     * Returns the same choice at a higher cost.
     *
     * @param price what is added
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
