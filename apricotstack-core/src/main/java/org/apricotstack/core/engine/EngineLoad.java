package org.apricotstack.core.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * What one engine is believed to be doing: who reads, who writes, and how much memory is taken.
 *
 * <p>While something is written the engine works in passes: all reading that waits when a pass begins is done in it,
 * and its results and the writers' next events come together at its end. While nothing is written there are no passes.
 * Then a part of a shared reading goes ahead of everything that came before it, other parts included, and a prompt that
 * it reads alone waits for all others. News that a prompt was read mark the end of a pass.
 */
public final class EngineLoad {

    /** Lateness of a first event that is within the prediction's error, in milliseconds. */
    private static final double OVERDUE_MILLIS = 150;

    /** Reading that takes an engine away from short prompts, in milliseconds. */
    private static final double BUSY_READ_MILLIS = 400;

    /** Passes that are followed one by one after a time without news; then the engine counts as between two passes. */
    private static final int MOST_PASSES = 64;

    private final ReadingQueue reading = new ReadingQueue();
    private final Map<PlacementId, EnginePlacement> writing = new HashMap<>();
    private final Map<PlacementId, Long> memoryByPlacement = new HashMap<>();
    private EngineProfile profile;
    private long memoryTokens;
    private int shortLeads;
    private long advancedMillis;
    private double passBeganMillis;
    private double passEndMillis;
    private double orphanedEndMillis;
    private double progressMillis = Double.NEGATIVE_INFINITY;
    private double slowdown = 1;

    /**
     * Sets the engine's figures.
     *
     * @param figures the published figures
     */
    public void profile(EngineProfile figures) {
        profile = figures;
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
        double due = nowMillis + readyMillis(part.prefillMillis(), placement.isShared(), nowMillis);
        double own = part.prefillMillis() * slowdown;
        reading.postpone(placement.isShared(), !writing.isEmpty(), own);
        reading.add(new PartReading(placement, lead, nowMillis, own, due));
    }

    /**
     * Returns for how long the engine has owed a first event that was predicted.
     *
     * <p>It works on something that is not known here, or is stuck: whatever it is, new requests wait behind it too.
     */
    private double overdueMillis(long nowMillis) {
        double overdue = reading.owedMillis(progressMillis, nowMillis);
        return overdue > OVERDUE_MILLIS ? overdue : 0;
    }

    /** Returns for how long the engine is held by what no living router placed, as far as it is known. */
    private double foreignMillis(long nowMillis) {
        return Math.max(overdueMillis(nowMillis), orphanedEndMillis - nowMillis);
    }

    /** Lets the time pass. */
    private void advance(long nowMillis) {
        double elapsed = Math.max(0, nowMillis - advancedMillis);
        advancedMillis = Math.max(advancedMillis, nowMillis);
        if (writing.isEmpty()) {
            reading.read(elapsed);
            passBeganMillis = nowMillis;
            passEndMillis = nowMillis;
            return;
        }
        for (int i = 0; passEndMillis <= nowMillis; i++) {
            beginPass(i < MOST_PASSES ? passEndMillis : nowMillis);
        }
    }

    /** Ends the pass that runs and begins the next one with all that waits. */
    private void beginPass(double atMillis) {
        if (atMillis < passEndMillis) {
            reading.breakPass(atMillis - passBeganMillis);
        }
        passBeganMillis = atMillis;
        passEndMillis = atMillis + Math.max(1, passMillis()) + reading.nextPass();
    }

    /** Notes that the prompt of a placement was read, which also ends a pass. */
    void startDecoding(PlacementId id, long nowMillis) {
        advance(nowMillis);
        PartReading read = reading.take(id);
        if (read != null && read.lead()) {
            progressMillis = nowMillis;
            writing.put(id, read.placement());
            beginPass(nowMillis);
        }
    }

    /**
     * Takes a placement off whose router is gone. The engine may not notice and goes on reading, so what is left to
     * read
     * stays until it would have been read.
     */
    void orphan(PlacementId id, long nowMillis) {
        advance(nowMillis);
        double left = 0;
        for (PartReading part : reading.parts()) {
            left += part.placement().id().equals(id) ? part.leftMillis() : 0;
        }
        remove(id, nowMillis);
        orphanedEndMillis = Math.max(orphanedEndMillis, nowMillis) + left;
    }

    /** Takes a placement off. */
    void remove(PlacementId id, long nowMillis) {
        advance(nowMillis);
        PartReading read = reading.take(id);
        EnginePlacement written = writing.remove(id);
        if (read != null && read.lead() && read.placement().isShort() || written != null && written.isShort()) {
            shortLeads--;
        }
        Long memory = memoryByPlacement.remove(id);
        memoryTokens -= memory == null ? 0 : memory;
    }

    /**
     * Notes how slow the engine is.
     *
     * @param seen 1 for the published figures, more for a slow engine
     */
    public void slowdown(double seen) {
        slowdown = Math.max(1, seen);
    }

    /**
     * Returns how slow the engine is.
     *
     * @return 1 for the published figures, more for a slow engine
     */
    public double slowdown() {
        return slowdown;
    }

    /**
     * Predicts when a new part would have been read.
     *
     * @param readMillis reading of the part at usual pace, in milliseconds
     * @param isShared whether other engines share the reading
     * @param nowMillis the time
     * @return milliseconds from now
     */
    public double readyMillis(double readMillis, boolean isShared, long nowMillis) {
        advance(nowMillis);
        double own = readMillis * slowdown;
        if (writing.isEmpty()) {
            return foreignMillis(nowMillis) + (isShared ? own : reading.leftMillis() + own);
        }
        return foreignMillis(nowMillis) + passEndMillis - nowMillis + passMillis() + reading.waitingMillis() + own;
    }

    /**
     * Predicts when its writers get their next events.
     *
     * @param nowMillis the time
     * @return milliseconds from now
     */
    public double nextEventMillis(long nowMillis) {
        advance(nowMillis);
        return foreignMillis(nowMillis) + passEndMillis - nowMillis;
    }

    /**
     * Predicts the pause of the writers in the pass that a new part would be read in.
     *
     * @param readMillis reading of the part at usual pace, in milliseconds; 0 for the pass without a new part
     * @param nowMillis the time
     * @return milliseconds
     */
    public double pauseMillis(double readMillis, long nowMillis) {
        advance(nowMillis);
        return passMillis() + reading.waitingMillis() + readMillis * slowdown;
    }

    /**
     * Predicts the first pause of a new prompt's own answer. A shared part goes ahead of what an idle engine reads;
     * with the answer's first event the engine begins to work in passes, and reads all the rest in the next one.
     *
     * @param isShared whether other engines share the reading of the new prompt
     * @param nowMillis the time
     * @return milliseconds
     */
    double ownPauseMillis(boolean isShared, long nowMillis) {
        advance(nowMillis);
        return passMillis() + (isShared && writing.isEmpty() ? reading.leftMillis() : 0);
    }

    /**
     * Returns how many requests it runs as the engine that answers.
     *
     * @return requests that read or write
     */
    public int leadCount() {
        return reading.leads() + writing.size();
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
     * Estimates how much of the engine is in use.
     *
     * @param nowMillis the time
     * @return 0 if it is idle, 1 if its slots are taken or it reads for longer than short prompts can wait
     */
    public double busyShare(long nowMillis) {
        advance(nowMillis);
        double reads = reading.leftMillis() + Math.max(0, foreignMillis(nowMillis));
        double slots = profile == null ? 1 : profile.slots();
        return Math.min(1, Math.max(leadCount() / slots, reads / BUSY_READ_MILLIS));
    }

    /**
     * Returns for how many requests of other engines it reads.
     *
     * @return parts
     */
    public int helps() {
        return reading.helps();
    }

    /**
     * Returns the memory that placements take.
     *
     * @return tokens
     */
    public long memoryTokens() {
        return memoryTokens;
    }

    /** Predicts how long a pass takes in which nothing is read; 0 if nothing is written. */
    private double passMillis() {
        if (profile == null) {
            return 0;
        }
        long context = 0;
        for (EnginePlacement placement : writing.values()) {
            context += placement.contextTokens();
        }
        return profile.passMillis(writing.size(), context) * slowdown;
    }

    /**
     * Adds up what the writing requests lose if their next pause has a given length.
     *
     * @param pauseMillis the pause, in milliseconds
     * @param spread spread of the prediction's error in relation to the target
     * @return value lost, in the units of {@link PromptValue}
     */
    public double lossByPause(double pauseMillis, double spread) {
        double loss = 0;
        for (EnginePlacement placement : writing.values()) {
            loss += placement.value() * PromptValue.lossByPause(pauseMillis, placement.tokenGapTargetMillis(), spread);
        }
        return loss;
    }

    /** Predicts when the part of a placement will have been read, in milliseconds from now; 0 if it was. */
    double remainingPrefillMillis(PlacementId id, long nowMillis) {
        double[] longest = new double[1];
        eachReading(nowMillis, (part, readyMillis, passes) -> {
            if (part.leftMillis() > 0 && part.placement().id().equals(id)) {
                longest[0] = Math.max(longest[0], readyMillis);
            }
        });
        return longest[0];
    }

    /** Predicts when each part will have been read, those of the pass that runs too. */
    void eachReading(long nowMillis, ReadingVisitor visitor) {
        advance(nowMillis);
        boolean passes = !writing.isEmpty();
        double passEnd = passEndMillis - nowMillis;
        double nextPassEnd = passEnd + passMillis() + reading.waitingMillis();
        double ready = 0;
        for (PartReading part : reading.parts()) {
            ready += part.leftMillis();
            double inPasses = part.waitingMillis() > 0 ? nextPassEnd : passEnd;
            visitor.visit(part, passes ? inPasses : ready, passes);
        }
    }

    /** Takes the parts that an engine reads. */
    @FunctionalInterface
    interface ReadingVisitor {

        /**
         * Takes one part.
         *
         * @param part the part
         * @param readyMillis when it will have been read, from now
         * @param passes whether the engine works in passes now
         */
        void visit(PartReading part, double readyMillis, boolean passes);
    }
}
