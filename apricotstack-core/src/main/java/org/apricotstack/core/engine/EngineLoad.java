package org.apricotstack.core.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * The estimated load of one engine: its pending prefill, its decoding requests and its memory in use.
 *
 * <p>While any request decodes, the engine works in batch steps. All prefill that is waiting when a step begins is
 * done in that step; the prefill results and the next event of each decoding request become available together at its
 * end. While no request decodes there are no batch steps. A part of a shared prefill then runs before all earlier
 * work, including earlier shared parts, and a prompt that the engine prefills alone waits for all others. A report
 * that a prefill has completed marks the end of a batch step.
 */
public final class EngineLoad {

    /** Delay of a first event that is within the error of the prediction, in milliseconds. */
    private static final double OVERDUE_MILLIS = 150;

    /** Prefill after which an engine counts as fully busy for short prompts, in milliseconds. */
    private static final double BUSY_PREFILL_MILLIS = 400;

    /**
     * Batch steps that are replayed one by one after a time without updates; beyond that the engine counts as between
     * steps.
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
     * Returns how long the most delayed first event has been overdue; 0 within the error of the prediction.
     *
     * <p>The engine is then stuck or does work that is not known here. New requests wait behind either.
     */
    private double overdueMillis(long nowMillis) {
        double overdue = prefills.firstEventOverdueMillis(lastFirstEventMillis, nowMillis);
        return overdue > OVERDUE_MILLIS ? overdue : 0;
    }

    /** Returns how long the engine will be busy with work that no live router placed, as far as it is known. */
    private double unattributedWorkMillis(long nowMillis) {
        return Math.max(overdueMillis(nowMillis), orphanedEndMillis - nowMillis);
    }

    /** Advances the model to a point in time. */
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

    /** Ends the current batch step and starts the next one with all waiting prefill. */
    private void startStep(double atMillis) {
        if (atMillis < stepEndMillis) {
            prefills.endStepEarly(atMillis - stepStartMillis);
        }
        stepStartMillis = atMillis;
        stepEndMillis = atMillis + Math.max(1, batchStepMillis()) + prefills.advanceStep();
    }

    /** Records that the prefill of a placement has completed, which also ends a batch step. */
    void startDecoding(PlacementId id, long nowMillis) {
        advance(nowMillis);
        PrefillPart pendingPart = prefills.removePart(id);
        if (pendingPart != null && pendingPart.lead()) {
            lastFirstEventMillis = nowMillis;
            decoding.put(id, pendingPart.placement());
            startStep(nowMillis);
        }
    }

    /**
     * Removes a placement of a router that is dead. The engine may not notice this and may continue the prefill, so
     * the remaining prefill still counts until it would be done.
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

    /** Removes a placement. */
    void remove(PlacementId id, long nowMillis) {
        advance(nowMillis);
        PrefillPart pendingPart = prefills.removePart(id);
        EnginePlacement decodingPlacement = decoding.remove(id);
        if (pendingPart != null && pendingPart.lead() && pendingPart.placement().isShort()
                || decodingPlacement != null && decodingPlacement.isShort()) {
            shortLeadCount--;
        }
        Long memory = memoryByPlacement.remove(id);
        memoryTokens -= memory == null ? 0 : memory;
    }

    /**
     * Sets how slow the engine is.
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
     * Predicts when the prefill of a new part would be done.
     *
     * @param prefillMillis prefill of the part at the published speed, in milliseconds
     * @param isShared whether other engines share the prefill
     * @param nowMillis the current time
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
     * Predicts when the decoding requests get their next events.
     *
     * @param nowMillis the current time
     * @return milliseconds from now
     */
    public double nextEventMillis(long nowMillis) {
        advance(nowMillis);
        return unattributedWorkMillis(nowMillis) + stepEndMillis - nowMillis;
    }

    /**
     * Predicts the token gap of the decoding requests in the batch step that includes a new part.
     *
     * @param prefillMillis prefill of the part at the published speed, in milliseconds; 0 for a step without a new
     *     part
     * @param nowMillis the current time
     * @return milliseconds
     */
    public double tokenGapMillis(double prefillMillis, long nowMillis) {
        advance(nowMillis);
        return batchStepMillis() + prefills.waitingMillis() + prefillMillis * slowdown;
    }

    /**
     * Predicts the first token gap of a new prompt's own answer. A shared part runs before the pending prefill of an
     * engine that decodes nothing. With the first event of the answer the engine starts to work in batch steps, and
     * the next step includes all of the remaining prefill.
     *
     * @param isShared whether other engines share the prefill of the new prompt
     * @param nowMillis the current time
     * @return milliseconds
     */
    double ownTokenGapMillis(boolean isShared, long nowMillis) {
        advance(nowMillis);
        return batchStepMillis() + (isShared && decoding.isEmpty() ? prefills.remainingMillis() : 0);
    }

    /**
     * Returns how many requests the engine runs as the lead engine, which decodes the answer.
     *
     * @return requests in prefill or decode
     */
    public int leadCount() {
        return prefills.leadCount() + decoding.size();
    }

    /**
     * Returns how many of the lead requests have short prompts.
     *
     * @return requests
     */
    public int shortLeadCount() {
        return shortLeadCount;
    }

    /**
     * Estimates the utilization of the engine.
     *
     * @param nowMillis the current time
     * @return 0 if it is idle, 1 if all slots are taken or its pending prefill takes longer than short prompts can
     *     wait
     */
    public double utilization(long nowMillis) {
        advance(nowMillis);
        double workMillis = prefills.remainingMillis() + Math.max(0, unattributedWorkMillis(nowMillis));
        double slots = profile == null ? 1 : profile.slots();
        return Math.min(1, Math.max(leadCount() / slots, workMillis / BUSY_PREFILL_MILLIS));
    }

    /**
     * Returns how many parts the engine prefills for requests of other lead engines.
     *
     * @return parts
     */
    public int helperCount() {
        return prefills.helperCount();
    }

    /**
     * Returns the memory that placements use.
     *
     * @return tokens
     */
    public long memoryTokens() {
        return memoryTokens;
    }

    /**
     * Returns the memory that no known placement uses.
     *
     * @return tokens; 0 without the engine's figures
     */
    public long freeMemoryTokens() {
        return profile == null ? 0 : profile.memoryTokens() - memoryTokens;
    }

    /**
     * Predicts the time of each token of a new request, if nothing is prefilled meanwhile.
     *
     * @param contextTokens tokens of its context
     * @return milliseconds per token, with all requests that are known now
     */
    public double decodeMillisPerToken(long contextTokens) {
        long context = contextTokens;
        for (EnginePlacement placement : decoding.values()) {
            context += placement.contextTokens();
        }
        int decodingRequests = prefills.leadCount() + decoding.size() + 1;
        return profile.batchStepMillis(decodingRequests, context) * slowdown / profile.decodeStepsPerBatchStep();
    }

    /** Predicts the duration of a batch step without prefill; 0 if no request decodes. */
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
     * Adds up the value that the decoding requests lose if their next token gap has a given length.
     *
     * @param tokenGapMillis the token gap, in milliseconds
     * @param spread spread of the prediction error relative to the target
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

    /** Predicts when the prefill of a placement will be done here, in milliseconds from now; 0 if it is done. */
    double remainingPrefillMillis(PlacementId id, long nowMillis) {
        double[] longest = new double[1];
        forEachPrefill(nowMillis, (part, prefillDoneMillis, batching) -> {
            if (part.remainingMillis() > 0 && part.placement().id().equals(id)) {
                longest[0] = Math.max(longest[0], prefillDoneMillis);
            }
        });
        return longest[0];
    }

    /** Predicts when the prefill of each part will be done, including the parts in the current batch step. */
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

    /** Visits the parts that an engine has to prefill. */
    @FunctionalInterface
    interface PrefillVisitor {

        /**
         * Visits one part.
         *
         * @param part the part
         * @param prefillDoneMillis time until its prefill is done, in milliseconds
         * @param batching whether the engine works in batch steps now
         */
        void visit(PrefillPart part, double prefillDoneMillis, boolean batching);
    }
}
