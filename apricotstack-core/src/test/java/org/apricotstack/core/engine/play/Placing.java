package org.apricotstack.core.engine.play;

import java.util.Comparator;
import java.util.List;

import org.apricotstack.core.engine.EngineCandidate;
import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.EnginePlacer;
import org.apricotstack.core.engine.EngineProfile;
import org.apricotstack.core.engine.PlacementCaution;
import org.apricotstack.core.engine.PlacementChoice;
import org.apricotstack.core.engine.PromptAdmission;
import org.apricotstack.core.engine.PromptRequest;

/** A way of placing prompts that is compared with others. */
@FunctionalInterface
interface Placing {

    /** Chooses engines for a prompt. */
    PlacementChoice choose(PromptRequest request, List<EngineCandidate> candidates, long nowMillis);

    /** Tells whether a prompt that can wait no longer is refused rather than given to the engines chosen. */
    default boolean refuses(PlacementChoice choice, long promptTokens) {
        return PromptAdmission.isRefused(choice, promptTokens);
    }

    /** Makes a way for some engines. */
    @FunctionalInterface
    interface Maker {

        /** Makes it. */
        Placing of(EngineProfile profile);
    }

    /** Returns the way that routers use. */
    static Maker today() {
        return profile -> new EnginePlacer(profile)::choose;
    }

    /** Returns the way that routers use, with other figures of caution, and that refuses nothing that can be placed. */
    static Maker withoutRefusals(PlacementCaution caution) {
        return profile -> {
            EnginePlacer placer = new EnginePlacer(profile, caution);
            return new Placing() {
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

    /** Returns the way that gives each prompt whole to the engine that answers fewest. */
    static Maker leastInFlight() {
        return profile -> (request, candidates, nowMillis) -> alone(
                profile,
                request,
                candidates.stream()
                        .min(Comparator.comparingInt(
                                candidate -> candidate.load().leadCount()))
                        .orElseThrow());
    }

    /** Returns the way that gives prompts whole to the engines in turn. */
    static Maker inTurn() {
        return profile -> {
            int[] turn = new int[1];
            return (request, candidates, nowMillis) ->
                    alone(profile, request, candidates.get(turn[0]++ % candidates.size()));
        };
    }

    private static PlacementChoice alone(EngineProfile profile, PromptRequest request, EngineCandidate candidate) {
        double readMillis = profile.prefillMillis(request.promptTokens(), 1);
        EnginePart whole =
                new EnginePart(candidate.engine(), readMillis, request.promptTokens() + request.answerTokens());
        return new PlacementChoice(List.of(whole), readMillis, 0, 0, 0, false);
    }
}
