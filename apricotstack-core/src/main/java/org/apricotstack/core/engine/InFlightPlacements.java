package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The placements of this router that have not ended, as a router that did not hear of them has to learn them.
 *
 * <p>A router that has just started, or was cut off for a while, has an empty loadTable and would send prompts to
 * engines
 * that are full. It is told of the open placements when a stream of news to it opens.
 */
public final class InFlightPlacements {

    private final Map<PlacementId, TrackedPlacement> placed = new LinkedHashMap<>();

    /**
     * A placement that has not ended.
     *
     * @param placement the placement; its parts hold what is remaining to read
     * @param limitMillis longest time that the request may still take, in milliseconds
     * @param decoding whether its answer is being written
     */
    public record Entry(EnginePlacement placement, long limitMillis, boolean decoding) {}

    /**
     * A placement as it was made.
     *
     * @param placement the placement
     * @param atMillis when it was made
     * @param limitMillis longest time that the request might take then, in milliseconds
     * @param decoding whether its answer is being written
     */
    private record TrackedPlacement(EnginePlacement placement, long atMillis, long limitMillis, boolean decoding) {

        /** Returns what is remaining of it. */
        private Entry remainingAt(long nowMillis) {
            long elapsed = nowMillis - atMillis;
            List<EnginePart> remaining = placement.parts().stream()
                    .map(part -> new EnginePart(
                            part.engine(), Math.max(0, part.prefillMillis() - elapsed), part.memoryTokens()))
                    .toList();
            EnginePlacement remainingPlacement = new EnginePlacement(
                    placement.id(),
                    remaining,
                    placement.contextTokens(),
                    Math.max(1, placement.targetLatencyMillis() - elapsed),
                    placement.tokenGapTargetMillis());
            return new Entry(remainingPlacement, limitMillis - elapsed, decoding);
        }
    }

    /**
     * Adds a placement.
     *
     * @param placement the placement
     * @param limitMillis longest time that the request may take, in milliseconds
     * @param nowMillis the time
     */
    public void place(EnginePlacement placement, long limitMillis, long nowMillis) {
        placed.put(placement.id(), new TrackedPlacement(placement, nowMillis, limitMillis, false));
    }

    /**
     * Notes that the answer to a placement is being written.
     *
     * @param id the placement
     */
    public void startDecoding(PlacementId id) {
        placed.computeIfPresent(
                id, (same, one) -> new TrackedPlacement(one.placement(), one.atMillis(), one.limitMillis(), true));
    }

    /**
     * Takes a placement off.
     *
     * @param id the placement
     */
    public void remove(PlacementId id) {
        placed.remove(id);
    }

    /**
     * Lists the placements that have not ended and whose time is not over.
     *
     * @param nowMillis the time
     * @return the placements in the order in which they were made
     */
    public List<Entry> at(long nowMillis) {
        List<Entry> open = new ArrayList<>(placed.size());
        for (TrackedPlacement one : placed.values()) {
            Entry remaining = one.remainingAt(nowMillis);
            if (remaining.limitMillis() > 0) {
                open.add(remaining);
            }
        }
        return open;
    }
}
