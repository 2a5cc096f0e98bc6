package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The placements of this router that have not ended, for routers that missed the reports of them.
 *
 * <p>A router that has just started, or was disconnected for a while, has an empty load table and would send prompts
 * to full engines. It receives the in-flight placements when a gossip stream to it opens.
 */
public final class InFlightPlacements {

    private final Map<PlacementId, TrackedPlacement> placed = new LinkedHashMap<>();

    /**
     * A placement that has not ended.
     *
     * @param placement the placement; its parts hold the remaining prefill
     * @param limitMillis maximum time that the request may still take, in milliseconds
     * @param decoding whether its answer is being decoded
     */
    public record Entry(EnginePlacement placement, long limitMillis, boolean decoding) {}

    /**
     * A placement with the figures of the time at which it was made.
     *
     * @param placement the placement
     * @param atMillis when it was made
     * @param limitMillis maximum time that the request might take then, in milliseconds
     * @param decoding whether its answer is being decoded
     */
    private record TrackedPlacement(EnginePlacement placement, long atMillis, long limitMillis, boolean decoding) {

        /** Returns the placement with its remaining prefill and time. */
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
     * @param limitMillis maximum time that the request may take, in milliseconds
     * @param nowMillis the current time
     */
    public void place(EnginePlacement placement, long limitMillis, long nowMillis) {
        placed.put(placement.id(), new TrackedPlacement(placement, nowMillis, limitMillis, false));
    }

    /**
     * Records that the answer of a placement is being decoded.
     *
     * @param id the placement
     */
    public void startDecoding(PlacementId id) {
        placed.computeIfPresent(
                id, (same, one) -> new TrackedPlacement(one.placement(), one.atMillis(), one.limitMillis(), true));
    }

    /**
     * Removes a placement.
     *
     * @param id the placement
     */
    public void remove(PlacementId id) {
        placed.remove(id);
    }

    /**
     * Lists the placements that have neither ended nor passed their time limit.
     *
     * @param nowMillis the current time
     * @return the placements in the order in which they were made
     */
    public List<Entry> snapshot(long nowMillis) {
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
