package org.apricotstack.core.engine;

import java.util.HashMap;
import java.util.Map;

/** What one engine is believed to be doing: who reads, who writes, and how much memory is taken. */
public final class EngineLoad {

    /** Weight of the newest observation in the pace; about the last ten count. */
    private static final double PACE_WEIGHT = 0.1;

    /** Bounds of one observation of the pace, so that a single stall does not count for more than slowness does. */
    private static final double LEAST_PACE = 0.8;

    private static final double MOST_PACE = 8;

    private final Map<PlacementId, Reading> reading = new HashMap<>();
    private final Map<PlacementId, EnginePlacement> writing = new HashMap<>();
    private final Map<PlacementId, Long> memoryByPlacement = new HashMap<>();
    private int leads;
    private long memoryTokens;
    private double pace = 1;

    /**
     * A part that is being read.
     *
     * @param placement what it belongs to
     * @param lead whether the answer is written here
     * @param endMillis when it will have been read
     */
    private record Reading(EnginePlacement placement, boolean lead, double endMillis) {}

    /** Adds a part of a placement. */
    void add(EnginePlacement placement, EnginePart part, long nowMillis) {
        boolean lead = placement.lead().engine().equals(part.engine());
        double end = nowMillis + pendingReadMillis(nowMillis) + part.readMillis() * pace;
        if (reading.put(placement.id(), new Reading(placement, lead, end)) == null) {
            memoryTokens += part.memoryTokens();
            memoryByPlacement.put(placement.id(), part.memoryTokens());
            leads += lead ? 1 : 0;
        }
    }

    /** Notes that the prompt of a placement was read. */
    void startWriting(PlacementId id) {
        Reading part = reading.remove(id);
        if (part != null && part.lead()) {
            writing.put(id, part.placement());
        }
    }

    /** Takes a placement off. */
    void remove(PlacementId id) {
        Reading part = reading.remove(id);
        EnginePlacement written = writing.remove(id);
        if (part != null && part.lead() || written != null) {
            leads--;
        }
        Long memory = memoryByPlacement.remove(id);
        memoryTokens -= memory == null ? 0 : memory;
    }

    /**
     * Notes how long something took in relation to what was predicted.
     *
     * @param ratio seen duration divided by the predicted one at usual pace
     */
    public void observePace(double ratio) {
        double bounded = Math.max(LEAST_PACE, Math.min(MOST_PACE, ratio));
        pace += (bounded - pace) * PACE_WEIGHT;
    }

    /**
     * Returns how slow the engine is.
     *
     * @return 1 for the published figures, more for a slow engine
     */
    public double pace() {
        return pace;
    }

    /**
     * Predicts for how long prompts placed here will still be read.
     *
     * @param nowMillis the time
     * @return milliseconds
     */
    public double pendingReadMillis(long nowMillis) {
        double end = nowMillis;
        for (Reading part : reading.values()) {
            end = Math.max(end, part.endMillis());
        }
        return end - nowMillis;
    }

    /**
     * Returns how many requests it runs as the engine that writes.
     *
     * @return requests that read or write
     */
    public int leads() {
        return leads;
    }

    /**
     * Returns how many requests are writing or will write here.
     *
     * @return requests
     */
    public int writers() {
        return writing.size();
    }

    /**
     * Returns the memory that placements take.
     *
     * @return tokens
     */
    public long memoryTokens() {
        return memoryTokens;
    }

    /**
     * Predicts how long a pass takes in which nothing is read.
     *
     * @param profile the engine's figures
     * @return milliseconds
     */
    public double passMillis(EngineProfile profile) {
        long context = 0;
        for (EnginePlacement placement : writing.values()) {
            context += placement.contextTokens();
        }
        return profile.passMillis(writing.size(), context) * pace;
    }

    /**
     * Adds up what the writing requests lose if their next pause has a given length.
     *
     * @param pauseMillis the pause, in milliseconds
     * @return value lost, in the units of {@link PromptValue}
     */
    public double lossByPause(double pauseMillis) {
        double loss = 0;
        for (EnginePlacement placement : writing.values()) {
            loss += placement.value()
                    * PromptValue.LOST_WHEN_LATE
                    * Lateness.probability(pauseMillis, placement.pauseTargetMillis());
        }
        for (Reading part : reading.values()) {
            if (part.lead()) {
                loss += part.placement().value()
                        * PromptValue.LOST_WHEN_LATE
                        * Lateness.probability(pauseMillis, part.placement().pauseTargetMillis());
            }
        }
        return loss;
    }
}
