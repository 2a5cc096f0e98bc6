package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one engine is believed to be doing: who reads, who writes, and how much memory is taken.
 *
 * <p>An engine reads the parts that it does for others first, then the prompts that it will answer, each in the order of
 * their arrival; everything that waits is read in one pass, and the writers' next event comes at the end of the pass.
 */
public final class EngineLoad {

    private final List<Reading> helping = new ArrayList<>();
    private final List<Reading> reading = new ArrayList<>();
    private final Map<PlacementId, EnginePlacement> writing = new HashMap<>();
    private final Map<PlacementId, Long> memoryByPlacement = new HashMap<>();
    private long memoryTokens;
    private int shortLeads;
    private long advancedMillis;
    private double pace = 1;

    /** A part that is being read. */
    private static final class Reading {
        private final EnginePlacement placement;
        private final long targetMillis;
        private double leftMillis;

        /** Creates a part of which nothing was read. */
        private Reading(EnginePlacement placement, long targetMillis, double leftMillis) {
            this.placement = placement;
            this.targetMillis = targetMillis;
            this.leftMillis = leftMillis;
        }
    }

    /** Adds a part of a placement. */
    void add(EnginePlacement placement, EnginePart part, long nowMillis) {
        if (memoryByPlacement.putIfAbsent(placement.id(), part.memoryTokens()) != null) {
            return;
        }
        advance(nowMillis);
        memoryTokens += part.memoryTokens();
        boolean lead = placement.lead().engine().equals(part.engine());
        shortLeads += lead && placement.isShort() ? 1 : 0;
        Reading added =
                new Reading(placement, nowMillis + placement.targetLatencyMillis(), part.readMillis() * pace);
        (lead ? reading : helping).add(added);
    }

    /** Lets the time pass in which the engine read. */
    private void advance(long nowMillis) {
        double elapsed = Math.max(0, nowMillis - advancedMillis);
        advancedMillis = Math.max(advancedMillis, nowMillis);
        elapsed = consume(helping, elapsed);
        consume(reading, elapsed);
    }

    /** Takes time off what is read, in its order; returns the rest. */
    private static double consume(List<Reading> parts, double millis) {
        double rest = millis;
        for (Reading part : parts) {
            double taken = Math.min(rest, part.leftMillis);
            part.leftMillis -= taken;
            rest -= taken;
        }
        return rest;
    }

    /** Notes that the prompt of a placement was read. */
    void startWriting(PlacementId id, long nowMillis) {
        advance(nowMillis);
        helping.removeIf(part -> part.placement.id().equals(id));
        for (Reading part : List.copyOf(reading)) {
            if (part.placement.id().equals(id)) {
                reading.remove(part);
                writing.put(id, part.placement);
            }
        }
    }

    /** Takes a placement off. */
    void remove(PlacementId id, long nowMillis) {
        advance(nowMillis);
        helping.removeIf(part -> part.placement.id().equals(id));
        for (Reading part : List.copyOf(reading)) {
            if (part.placement.id().equals(id)) {
                reading.remove(part);
                shortLeads -= part.placement.isShort() ? 1 : 0;
            }
        }
        EnginePlacement written = writing.remove(id);
        if (written != null) {
            shortLeads -= written.isShort() ? 1 : 0;
        }
        Long memory = memoryByPlacement.remove(id);
        memoryTokens -= memory == null ? 0 : memory;
    }

    /**
     * Notes how slow the engine is.
     *
     * @param seen 1 for the published figures, more for a slow engine
     */
    public void pace(double seen) {
        pace = Math.max(1, seen);
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
     * Predicts for how long the parts that it does for others will still be read.
     *
     * @param nowMillis the time
     * @return milliseconds
     */
    public double helpingMillis(long nowMillis) {
        advance(nowMillis);
        return sum(helping);
    }

    /**
     * Predicts for how long everything placed here will still be read.
     *
     * @param nowMillis the time
     * @return milliseconds
     */
    public double pendingReadMillis(long nowMillis) {
        advance(nowMillis);
        return sum(helping) + sum(reading);
    }

    /** Adds up what is left to read. */
    private static double sum(List<Reading> parts) {
        double total = 0;
        for (Reading part : parts) {
            total += part.leftMillis;
        }
        return total;
    }

    /**
     * Returns how many requests it runs as the engine that answers.
     *
     * @return requests that read or write
     */
    public int leads() {
        return reading.size() + writing.size();
    }

    /**
     * Returns how many of them have short prompts.
     *
     * @return requests
     */
    public int shortLeads() {
        return shortLeads;
    }

    /**
     * Returns how many requests are writing.
     *
     * @return requests
     */
    public int writers() {
        return writing.size();
    }

    /**
     * Returns for how many requests of other engines it reads.
     *
     * @return parts
     */
    public int helps() {
        return helping.size();
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
     * @return milliseconds; 0 if nothing is written
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
            loss += placement.value() * PromptValue.lossByPause(pauseMillis, placement.pauseTargetMillis());
        }
        return loss;
    }

    /**
     * Adds up what the requests that are still reading lose if their first event comes later.
     *
     * @param delayMillis how much later, in milliseconds
     * @param passMillis a pass of the engine, in milliseconds
     * @param nowMillis the time
     * @return value lost beyond what is lost already, in the units of {@link PromptValue}
     */
    public double lossByDelay(double delayMillis, double passMillis, long nowMillis) {
        advance(nowMillis);
        double loss = 0;
        double ready = sum(helping) + passMillis;
        for (Reading part : reading) {
            ready += part.leftMillis;
            double target = Math.max(1, part.targetMillis - nowMillis);
            loss += part.placement.value()
                    * PromptValue.LOST_WHEN_LATE
                    * (Lateness.probability(ready + delayMillis, target) - Lateness.probability(ready, target));
        }
        return loss;
    }
}
