package org.apricotstack.core.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * What one engine is believed to be doing: who workMillis, who writes, and how much memory is taken.
 *
 * <p>While something is written the engine works in batching: all prefill that waits when a pass begins is done in it,
 * and its results and the writers' next events come together at its end. While nothing is written there are no
 * batching.
 * Then a part of a shared prefill goes ahead of everything that came before it, other parts included, and a prompt that
 * it workMillis alone waits for all others. News that a prompt was read mark the end of a pass.
 */
public final class EngineLoad {

    /** Lateness of a first event that is within the prediction's error, in milliseconds. */
    private static final double OVERDUE_MILLIS = 150;

    /** Reading that takes an engine away from short prompts, in milliseconds. */
    private static final double BUSY_PREFILL_MILLIS = 400;

    /**
     * Passes that are followed one by one after a time without news; then the engine counts as between two batching.
     */
    private static final int MAX_STEPS = 64;

    private final PrefillQueue prefills = new PrefillQueue();
    private final Map<PlacementId, EnginePlacement> decoding = new HashMap<>();
    private final Map<PlacementId, Long> memoryByPlacement = new HashMap<>();
    private EngineProfile profile;
    private long memoryTokens;
    private int shortLeadCount;
    private long advancedMillis;
    private double stepStartMillis;
    private double stepEndMillis;
    private double orphanedEndMillis;
    private double lastFirstEventMillis = Double.NEGATIVE_INFINITY;
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
        shortLeadCount += lead && placement.isShort() ? 1 : 0;
        double due = nowMillis + prefillDoneMillis(part.prefillMillis(), placement.isShared(), nowMillis);
        double own = part.prefillMillis() * slowdown;
        prefills.postpone(placement.isShared(), !decoding.isEmpty(), own);
        prefills.add(new PrefillPart(placement, lead, nowMillis, own, due));
    }

    /**
     * Returns for how long the engine has owed a first event that was predicted.
     *
     * <p>It works on something that is not known here, or is stuck: whatever it is, new requests wait behind it too.
     */
    private double overdueMillis(long nowMillis) {
        double overdue = prefills.firstEventOverdueMillis(lastFirstEventMillis, nowMillis);
        return overdue > OVERDUE_MILLIS ? overdue : 0;
    }

    /** Returns for how long the engine is held by what no living router placed, as far as it is known. */
    private double unattributedWorkMillis(long nowMillis) {
        return Math.max(overdueMillis(nowMillis), orphanedEndMillis - nowMillis);
    }

    /** Lets the time pass. */
    private void advance(long nowMillis) {
        double elapsed = Math.max(0, nowMillis - advancedMillis);
        advancedMillis = Math.max(advancedMillis, nowMillis);
        if (decoding.isEmpty()) {
            prefills.progress(elapsed);
            stepStartMillis = nowMillis;
            stepEndMillis = nowMillis;
            return;
        }
        for (int i = 0; stepEndMillis <= nowMillis; i++) {
            startStep(i < MAX_STEPS ? stepEndMillis : nowMillis);
        }
    }

    /** Ends the pass that runs and begins the next one with all that waits. */
    private void startStep(double atMillis) {
        if (atMillis < stepEndMillis) {
            prefills.endStepEarly(atMillis - stepStartMillis);
        }
        stepStartMillis = atMillis;
        stepEndMillis = atMillis + Math.max(1, batchStepMillis()) + prefills.advanceStep();
    }

    /** Notes that the prompt of a placement was read, which also ends a pass. */
    void startDecoding(PlacementId id, long nowMillis) {
        advance(nowMillis);
        PrefillPart read = prefills.removePart(id);
        if (read != null && read.lead()) {
            lastFirstEventMillis = nowMillis;
            decoding.put(id, read.placement());
            startStep(nowMillis);
        }
    }

    /**
     * Takes a placement off whose router is gone. The engine may not notice and goes on prefill, so what is left to
     * read
     * stays until it would have been read.
     */
    void orphan(PlacementId id, long nowMillis) {
        advance(nowMillis);
        double remaining = 0;
        for (PrefillPart part : prefills.parts()) {
            remaining += part.placement().id().equals(id) ? part.remainingMillis() : 0;
        }
        remove(id, nowMillis);
        orphanedEndMillis = Math.max(orphanedEndMillis, nowMillis) + remaining;
    }

    /** Takes a placement off. */
    void remove(PlacementId id, long nowMillis) {
        advance(nowMillis);
        PrefillPart read = prefills.removePart(id);
        EnginePlacement written = decoding.remove(id);
        if (read != null && read.lead() && read.placement().isShort() || written != null && written.isShort()) {
            shortLeadCount--;
        }
        Long memory = memoryByPlacement.remove(id);
        memoryTokens -= memory == null ? 0 : memory;
    }

    /**
     * Notes how slow the engine is.
     *
     * @param factor 1 for the published figures, more for a slow engine
     */
    public void slowdown(double factor) {
        slowdown = Math.max(1, factor);
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
     * @param prefillMillis prefill of the part at usual pace, in milliseconds
     * @param isShared whether other engines share the prefill
     * @param nowMillis the time
     * @return milliseconds from now
     */
    public double prefillDoneMillis(double prefillMillis, boolean isShared, long nowMillis) {
        advance(nowMillis);
        double own = prefillMillis * slowdown;
        if (decoding.isEmpty()) {
            return unattributedWorkMillis(nowMillis) + (isShared ? own : prefills.remainingMillis() + own);
        }
        return unattributedWorkMillis(nowMillis)
                + stepEndMillis
                - nowMillis
                + batchStepMillis()
                + prefills.waitingMillis()
                + own;
    }

    /**
     * Predicts when its writers get their next events.
     *
     * @param nowMillis the time
     * @return milliseconds from now
     */
    public double nextEventMillis(long nowMillis) {
        advance(nowMillis);
        return unattributedWorkMillis(nowMillis) + stepEndMillis - nowMillis;
    }

    /**
     * Predicts the pause of the writers in the pass that a new part would be read in.
     *
     * @param prefillMillis prefill of the part at usual pace, in milliseconds; 0 for the pass without a new part
     * @param nowMillis the time
     * @return milliseconds
     */
    public double tokenGapMillis(double prefillMillis, long nowMillis) {
        advance(nowMillis);
        return batchStepMillis() + prefills.waitingMillis() + prefillMillis * slowdown;
    }

    /**
     * Predicts the first pause of a new prompt's own answer. A shared part goes ahead of what an idle engine
     * workMillis;
     * with the answer's first event the engine begins to work in batching, and workMillis all the rest in the next one.
     *
     * @param isShared whether other engines share the prefill of the new prompt
     * @param nowMillis the time
     * @return milliseconds
     */
    double ownTokenGapMillis(boolean isShared, long nowMillis) {
        advance(nowMillis);
        return batchStepMillis() + (isShared && decoding.isEmpty() ? prefills.remainingMillis() : 0);
    }

    /**
     * Returns how many requests it runs as the engine that answers.
     *
     * @return requests that read or write
     */
    public int leadCount() {
        return prefills.leadCount() + decoding.size();
    }

    /**
     * Returns how many of them have short prompts.
     *
     * @return requests
     */
    public int shortLeadCount() {
        return shortLeadCount;
    }

    /**
     * Estimates how much of the engine is in use.
     *
     * @param nowMillis the time
     * @return 0 if it is idle, 1 if its slots are taken or it workMillis for longer than short prompts can wait
     */
    public double utilization(long nowMillis) {
        advance(nowMillis);
        double workMillis = prefills.remainingMillis() + Math.max(0, unattributedWorkMillis(nowMillis));
        double slots = profile == null ? 1 : profile.slots();
        return Math.min(1, Math.max(leadCount() / slots, workMillis / BUSY_PREFILL_MILLIS));
    }

    /**
     * Returns for how many requests of other engines it workMillis.
     *
     * @return parts
     */
    public int helperCount() {
        return prefills.helperCount();
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
    private double batchStepMillis() {
        if (profile == null) {
            return 0;
        }
        long context = 0;
        for (EnginePlacement placement : decoding.values()) {
            context += placement.contextTokens();
        }
        return profile.batchStepMillis(decoding.size(), context) * slowdown;
    }

    /**
     * Adds up what the decoding requests lose if their next pause has a given length.
     *
     * @param tokenGapMillis the pause, in milliseconds
     * @param spread spread of the prediction's error in relation to the target
     * @return value lost, in the units of {@link PromptValue}
     */
    public double tokenGapLoss(double tokenGapMillis, double spread) {
        double loss = 0;
        for (EnginePlacement placement : decoding.values()) {
            loss += placement.value()
                    * PromptValue.tokenGapLoss(tokenGapMillis, placement.tokenGapTargetMillis(), spread);
        }
        return loss;
    }

    /** Predicts when the part of a placement will have been read, in milliseconds from now; 0 if it was. */
    double remainingPrefillMillis(PlacementId id, long nowMillis) {
        double[] longest = new double[1];
        forEachPrefill(nowMillis, (part, prefillDoneMillis, batching) -> {
            if (part.remainingMillis() > 0 && part.placement().id().equals(id)) {
                longest[0] = Math.max(longest[0], prefillDoneMillis);
            }
        });
        return longest[0];
    }

    /** Predicts when each part will have been read, those of the pass that runs too. */
    void forEachPrefill(long nowMillis, PrefillVisitor visitor) {
        advance(nowMillis);
        boolean batching = !decoding.isEmpty();
        double stepEnd = stepEndMillis - nowMillis;
        double nextStepEnd = stepEnd + batchStepMillis() + prefills.waitingMillis();
        double ready = 0;
        for (PrefillPart part : prefills.parts()) {
            ready += part.remainingMillis();
            double batchedDone = part.waitingMillis() > 0 ? nextStepEnd : stepEnd;
            visitor.visit(part, batching ? batchedDone : ready, batching);
        }
    }

    /** Takes the parts that an engine workMillis. */
    @FunctionalInterface
    interface PrefillVisitor {

        /**
         * Takes one part.
         *
         * @param part the part
         * @param prefillDoneMillis when it will have been read, from now
         * @param batching whether the engine works in batching now
         */
        void visit(PrefillPart part, double prefillDoneMillis, boolean batching);
    }
}
