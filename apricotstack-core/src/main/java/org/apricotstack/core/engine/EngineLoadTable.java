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
 * What this router believes that all engines are doing: its own placements and those that peers told of.
 *
 * <p>News of a placement that ends may be lost with the peer that would have sent it. Placements of a process that is
 * removed are taken off together ({@link #removeProcess}), and any is taken off after its time limit ({@link #expire}).
 */
public final class EngineLoadTable {

    private final Map<UpstreamId, EngineLoad> loads = new HashMap<>();
    private final Map<PlacementId, TrackedPlacement> placements = new HashMap<>();

    /**
     * A placement and the time at which it is expired in any case.
     *
     * @param placement the placement
     * @param expiryMillis the time
     */
    private record TrackedPlacement(EnginePlacement placement, long expiryMillis) {}

    /**
     * Returns the load of one engine.
     *
     * @param engine the engine
     * @return its load, which changes with the loadTable
     */
    public EngineLoad load(UpstreamId engine) {
        return loads.computeIfAbsent(engine, id -> new EngineLoad());
    }

    /**
     * Adds a placement; one that is known already is left as it is.
     *
     * @param placement the placement
     * @param nowMillis the time
     * @param limitMillis longest time that the request may still take, in milliseconds
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
     * Notes that the prompt of a placement was read and its answer is being written.
     *
     * @param id the placement
     * @param nowMillis the time
     */
    public void startDecoding(PlacementId id, long nowMillis) {
        TrackedPlacement placed = placements.get(id);
        if (placed != null) {
            placed.placement().parts().forEach(part -> load(part.engine()).startDecoding(id, nowMillis));
        }
    }

    /**
     * Predicts when all engines of a placement will have read their parts.
     *
     * @param id the placement
     * @param nowMillis the time
     * @return milliseconds from now; 0 if they have read them, or the placement is not known
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
     * Takes a placement off.
     *
     * @param id the placement
     * @param nowMillis the time
     */
    public void remove(PlacementId id, long nowMillis) {
        TrackedPlacement placed = placements.remove(id);
        if (placed != null) {
            placed.placement().parts().forEach(part -> load(part.engine()).remove(id, nowMillis));
        }
    }

    /**
     * Takes off all placements of a router process that is removed.
     *
     * @param process the process
     * @param nowMillis the time
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
     * Takes off placements of a router process that it no longer has, as news of their ends were lost.
     *
     * @param process the process
     * @param open all that it still has
     * @param nowMillis the time
     */
    public void retainInFlight(ProcessId process, Set<PlacementId> open, long nowMillis) {
        List<PlacementId> ended = placements.keySet().stream()
                .filter(id -> id.process().equals(process) && !open.contains(id))
                .toList();
        ended.forEach(id -> remove(id, nowMillis));
    }

    /**
     * Takes off placements whose time limit has passed.
     *
     * @param nowMillis the time
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
     * Forgets engines that are no longer listed and run nothing.
     *
     * @param listed tells which starts of engines are listed
     */
    public void retain(Predicate<UpstreamId> listed) {
        loads.entrySet()
                .removeIf(one ->
                        one.getValue().leadCount() + one.getValue().helperCount() == 0 && !listed.test(one.getKey()));
    }

    /**
     * Returns how many placements are known.
     *
     * @return placements
     */
    public int size() {
        return placements.size();
    }
}
