package org.apricotstack.core.engine.simulation;

import java.util.Comparator;
import java.util.List;

import org.apricotstack.core.engine.EngineCandidate;
import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.EnginePlacer;
import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.engine.PlacementChoice;
import org.apricotstack.core.engine.PlacementMargins;
import org.apricotstack.core.engine.PromptAdmission;
import org.apricotstack.core.engine.PromptRequest;

/** A policy for placing prompts that is compared with others. */
@FunctionalInterface
interface PlacementPolicy {

    /** Chooses engines for a prompt. */
    PlacementChoice choose(PromptRequest request, List<EngineCandidate> candidates, long nowMillis);

    /** Tells whether a prompt that can wait no longer is refused rather than placed on the chosen engines. */
    default boolean refuses(PlacementChoice choice, long promptTokens) {
        return PromptAdmission.isRefused(choice, promptTokens);
    }

    /** Creates a policy for given engines. */
    @FunctionalInterface
    interface Factory {

        /** Creates the policy. */
        PlacementPolicy of(EngineProfile profile);
    }

    /** Returns the policy that routers use. */
    static Factory current() {
        return profile -> new EnginePlacer(profile)::choose;
    }

    /** Returns the policy that routers use, with other margins and without refusals of prompts that can be placed. */
    static Factory withoutRefusals(PlacementMargins margins) {
        return profile -> {
            EnginePlacer placer = new EnginePlacer(profile, margins);
            return new PlacementPolicy() {
                @Override
                public PlacementChoice choose(PromptRequest request, List<EngineCandidate> candidates, long nowMillis) {
                    return placer.choose(request, candidates, nowMillis);
                }

                @Override
                public boolean refuses(PlacementChoice choice, long promptTokens) {
                    return false;
                }
            };
        };
    }

    /** Returns the policy that gives each whole prompt to the engine that leads the fewest requests. */
    static Factory leastInFlight() {
        return profile -> (request, candidates, nowMillis) -> onOneEngine(
                profile,
                request,
                candidates.stream()
                        .min(Comparator.comparingInt(
                                candidate -> candidate.load().leadCount()))
                        .orElseThrow());
    }

    /** Returns the policy that gives whole prompts to the engines in turn. */
    static Factory roundRobin() {
        return profile -> {
            int[] turn = new int[1];
            return (request, candidates, nowMillis) ->
                    onOneEngine(profile, request, candidates.get(turn[0]++ % candidates.size()));
        };
    }

    private static PlacementChoice onOneEngine(
            EngineProfile profile, PromptRequest request, EngineCandidate candidate) {
        double prefillMillis = profile.prefillMillis(request.promptTokens(), 1);
        EnginePart whole =
                new EnginePart(candidate.engine(), prefillMillis, request.promptTokens() + request.answerTokens());
        return new PlacementChoice(List.of(whole), prefillMillis, 0, 0, 0, false);
    }
}
