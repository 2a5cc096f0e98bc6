package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/**
 * All prompts in prefill on a set of engines, and the value that they lose by a new prompt.
 *
 * <p>The prefill of a shared prompt is done when the last of its engines is done. So the delay of a prompt is counted
 * once and not for each of its parts: a part that is done before the others may be delayed at no cost, and a new
 * prompt that delays all parts delays the prompt once. If the delays of the parts were added up, a prompt shared by 14
 * engines would look 14 times as valuable, and new prompts would be given to single engines instead of sharing these.
 */
final class PendingPrefills {

    private final Map<UpstreamId, List<Part>> byEngine = new HashMap<>();
    private final Map<PlacementId, Double> doneMillisByPlacement = new HashMap<>();
    private final long nowMillis;

    /**
     * A part in prefill on an engine.
     *
     * @param prefill the part
     * @param prefillDoneMillis time until its prefill is done, in milliseconds
     * @param batching whether its engine works in batch steps
     */
    private record Part(PrefillPart prefill, double prefillDoneMillis, boolean batching) {

        /** Returns the placement that the part belongs to. */
        private PlacementId id() {
            return prefill.placement().id();
        }

        /** Tells whether a new part on the same engine delays this one. */
        private boolean isDelayed(boolean isShared) {
            return prefill.waitingMillis() > 0 && prefill.delayedBy(isShared, batching);
        }
    }

    /** Collects the pending prefill of all engines. */
    PendingPrefills(List<EngineCandidate> candidates, long nowMillis) {
        this.nowMillis = nowMillis;
        for (EngineCandidate candidate : candidates) {
            List<Part> parts = new ArrayList<>();
            candidate.load().forEachPrefill(nowMillis, (prefill, prefillDoneMillis, batching) -> {
                parts.add(new Part(prefill, prefillDoneMillis, batching));
                doneMillisByPlacement.merge(prefill.placement().id(), prefillDoneMillis, Math::max);
            });
            byEngine.put(candidate.engine(), parts);
        }
    }

    /**
     * Adds up the value that pending prompts lose if one engine gets a new part.
     *
     * @param candidate the engine
     * @param prefillMillis prefill of the part at the published speed, in milliseconds
     * @param isShared whether other engines share the new prefill, so that it runs before waiting parts
     * @return additional loss, in the units of {@link PromptValue}
     */
    double loss(EngineCandidate candidate, double prefillMillis, boolean isShared) {
        return loss(List.of(candidate), prefillMillis, isShared);
    }

    /**
     * Adds up the value that pending prompts lose if several engines each get a part of a new prompt.
     *
     * @param engines the engines
     * @param prefillMillis prefill of each part at the published speed, in milliseconds
     * @param isShared whether the new prefill is shared, so that it runs before waiting parts
     * @return additional loss, in the units of {@link PromptValue}
     */
    double loss(List<EngineCandidate> engines, double prefillMillis, boolean isShared) {
        Map<PlacementId, Part> delayed = new HashMap<>();
        Map<PlacementId, Double> prefillDoneMillis = new HashMap<>();
        for (EngineCandidate candidate : engines) {
            double delay = prefillMillis * candidate.load().slowdown();
            for (Part part : byEngine.get(candidate.engine())) {
                if (part.isDelayed(isShared)
                        && part.prefillDoneMillis() + delay > doneMillisByPlacement.get(part.id())) {
                    delayed.putIfAbsent(part.id(), part);
                    prefillDoneMillis.merge(part.id(), part.prefillDoneMillis() + delay, Math::max);
                }
            }
        }
        double loss = 0;
        for (Part part : delayed.values()) {
            double done = doneMillisByPlacement.get(part.id());
            loss += part.prefill().delayLoss(done, prefillDoneMillis.get(part.id()) - done, nowMillis);
        }
        return loss;
    }
}
