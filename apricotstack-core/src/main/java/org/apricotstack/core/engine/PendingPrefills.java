package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/**
 * All prompts that some engines read now, and what they lose by a new one.
 *
 * <p>A prompt that many engines share has been read when the last of them is done. So what delays it is looked at once
 * and not for each part: a part that is done early anyway may wait for nothing, and a new prompt that delays all parts
 * delays the prompt once. Added up over its parts, a prompt that 14 engines read would look 14 times as precious, and
 * new ones would go to a single engine each rather than beside it.
 */
final class PendingPrefills {

    private final Map<UpstreamId, List<Part>> byEngine = new HashMap<>();
    private final Map<PlacementId, Double> doneMillisByPlacement = new HashMap<>();
    private final long nowMillis;

    /**
     * A part that an engine reads.
     *
     * @param prefill the part
     * @param prefillDoneMillis when it will have been read, from now
     * @param batching whether its engine works in batching
     */
    private record Part(PrefillPart prefill, double prefillDoneMillis, boolean batching) {

        /** Returns the placement that it belongs to. */
        private PlacementId id() {
            return prefill.placement().id();
        }

        /** Tells whether a new part on its engine delays it. */
        private boolean isDelayed(boolean isShared) {
            return prefill.waitingMillis() > 0 && prefill.delayedBy(isShared, batching);
        }
    }

    /** Looks at all engines. */
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
     * Adds up what open prompts lose if one engine reads a new part.
     *
     * @param candidate the engine
     * @param prefillMillis prefill of the part at usual pace, in milliseconds
     * @param isShared whether other engines share the new prefill, so that it goes ahead of what waits
     * @return value lost beyond what is lost already, in the units of {@link PromptValue}
     */
    double loss(EngineCandidate candidate, double prefillMillis, boolean isShared) {
        return loss(List.of(candidate), prefillMillis, isShared);
    }

    /**
     * Adds up what open prompts lose if some engines read a part of a new one each.
     *
     * @param engines the engines
     * @param prefillMillis prefill of each part at usual pace, in milliseconds
     * @param isShared whether the new prefill is shared, so that it goes ahead of what waits
     * @return value lost beyond what is lost already, in the units of {@link PromptValue}
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
