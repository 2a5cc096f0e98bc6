package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/**
 * The load of all engines as this router knows it: its own placements and those that other routers reported.
 *
 * <p>The report that a placement has ended may be lost if the router that would send it dies. All placements of a dead
 * process are removed together ({@link #removeProcess}), and each placement expires after its time limit ({@link
 * #expire}).
 */
public final class EngineLoadTable {

    private final Map<UpstreamId, EngineLoad> loads = new HashMap<>();
    private final Map<PlacementId, TrackedPlacement> placements = new HashMap<>();

    /**
     * A placement and the time at which it expires.
     *
     * @param placement the placement
     * @param expiryMillis the time
     */
    private record TrackedPlacement(EnginePlacement placement, long expiryMillis) {}

    /**
     * Returns the load of one engine.
     *
     * @param engine the engine
     * @return its load; a live object that later calls update
     */
    public EngineLoad load(UpstreamId engine) {
        return loads.computeIfAbsent(engine, id -> new EngineLoad());
    }

    /**
     * Adds a placement; does nothing if it is already known.
     *
     * @param placement the placement
     * @param nowMillis the current time
     * @param limitMillis maximum time that the request may still take, in milliseconds
     * @return whether it was not known
     */
    public boolean place(EnginePlacement placement, long nowMillis, long limitMillis) {
        if (placements.putIfAbsent(placement.id(), new TrackedPlacement(placement, nowMillis + limitMillis)) != null) {
            return false;
        }
        for (EnginePart part : placement.parts()) {
            load(part.engine()).add(placement, part, nowMillis);
        }
        return true;
    }

    /**
     * Records that the prefill of a placement has completed and its answer is being decoded.
     *
     * @param id the placement
     * @param nowMillis the current time
     */
    public void startDecoding(PlacementId id, long nowMillis) {
        TrackedPlacement placed = placements.get(id);
        if (placed != null) {
            placed.placement().parts().forEach(part -> load(part.engine()).startDecoding(id, nowMillis));
        }
    }

    /**
     * Predicts when all engines of a placement will have completed their prefill.
     *
     * @param id the placement
     * @param nowMillis the current time
     * @return milliseconds from now; 0 if the prefill is done or the placement is not known
     */
    public double remainingPrefillMillis(PlacementId id, long nowMillis) {
        TrackedPlacement placed = placements.get(id);
        if (placed == null) {
            return 0;
        }
        return placed.placement().parts().stream()
                .mapToDouble(part -> load(part.engine()).remainingPrefillMillis(id, nowMillis))
                .max()
                .orElse(0);
    }

    /**
     * Removes a placement.
     *
     * @param id the placement
     * @param nowMillis the current time
     */
    public void remove(PlacementId id, long nowMillis) {
        TrackedPlacement placed = placements.remove(id);
        if (placed != null) {
            placed.placement().parts().forEach(part -> load(part.engine()).remove(id, nowMillis));
        }
    }

    /**
     * Removes all placements of a router process that is dead.
     *
     * @param process the process
     * @param nowMillis the current time
     */
    public void removeProcess(ProcessId process, long nowMillis) {
        List<PlacementId> removed = new ArrayList<>();
        for (PlacementId id : placements.keySet()) {
            if (id.process().equals(process)) {
                removed.add(id);
            }
        }
        for (PlacementId id : removed) {
            TrackedPlacement placed = placements.remove(id);
            placed.placement().parts().forEach(part -> load(part.engine()).orphan(id, nowMillis));
        }
    }

    /**
     * Removes placements that a router process no longer has, because the reports that they ended were lost.
     *
     * @param process the process
     * @param open all placements that the process still has
     * @param nowMillis the current time
     */
    public void retainInFlight(ProcessId process, Set<PlacementId> open, long nowMillis) {
        List<PlacementId> ended = placements.keySet().stream()
                .filter(id -> id.process().equals(process) && !open.contains(id))
                .toList();
        ended.forEach(id -> remove(id, nowMillis));
    }

    /**
     * Removes placements whose time limit has passed.
     *
     * @param nowMillis the current time
     */
    public void expire(long nowMillis) {
        List<PlacementId> expired = new ArrayList<>();
        placements.forEach((id, placed) -> {
            if (placed.expiryMillis() < nowMillis) {
                expired.add(id);
            }
        });
        expired.forEach(id -> remove(id, nowMillis));
    }

    /**
     * Removes engines that are no longer listed and run nothing.
     *
     * @param listed tells whether an incarnation of an engine is listed
     */
    public void retain(Predicate<UpstreamId> listed) {
        loads.entrySet()
                .removeIf(one ->
                        one.getValue().leadCount() + one.getValue().helperCount() == 0 && !listed.test(one.getKey()));
    }

    /**
     * Returns the number of known placements.
     *
     * @return placements
     */
    public int size() {
        return placements.size();
    }
}
