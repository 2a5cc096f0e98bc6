package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the engines for a prompt so that the expected loss of value over all requests is least.
 *
 * <p>Load that it answers: short prompts that write with pauses of a fraction of a second, beside long ones whose
 * prefill takes seconds. A pass lasts as long as everything that is read in it, so a long prefill next to short writers
 * makes all of them late. For each number of parts the loss of each engine's writers and readers and the lateness of
 * the new request are predicted; the cheapest combination wins.
 *
 * <p>Short prompts keep to the first engines of an order that all routers share, as many as their number needs now, and
 * long ones use the others. The shortPoolSize follows the load at once and needs no agreement: every router counts
 * the same
 * short requests.
 */
public final class EnginePlacer {

    /** Numbers of engines that a prefill is shared by; 17 is the first engine and the most helpers that it takes. */
    private static final int[] PART_COUNTS = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17};

    /** Parts shorter than this are not made, in milliseconds: a step of a pass is about 1 ms, its overhead counts. */
    private static final double MIN_PART_MILLIS = 25;

    /** Short requests that one engine runs well at once: its pass leaves room for prefill within their pause. */
    private static final double SHORT_REQUESTS_PER_ENGINE = 7.5;

    /** Engines kept for short prompts overSlots what they need now, for those of the next moment. */
    private static final double SPARE_ENGINES = 1.2;

    /**
     * Cost of a place otherPool the shortPoolSize, in the units of {@link PromptValue}: a third of a late short
     * answer.
     */
    private static final double OTHER_POOL_COST = 0.35;

    /** Cost of the position end of the own side, so that each side fills from its end. */
    private static final double POSITION_COST = 0.06;

    /** Cost of each helper as a share of the request's value, so that helpers are not used where they gain nothing. */
    private static final double HELPER_COST_SHARE = 0.002;

    /** Share of an engine's memory that is planned with; the rest covers what peers placed a moment ago. */
    private static final double USABLE_MEMORY_SHARE = 0.96;

    /** Mean time that a request holds a slot, in milliseconds, for predicting when a full engine has room. */
    private static final double MEAN_SLOT_MILLIS = 1_700;

    /** Share of the engines in use at which their time has its full price. */
    private static final double FULL_PRICE_UTILIZATION = 0.95;

    /**
     * Value of a second of an engine when all are in use: what short prompts, which take 0.2 s of an engine each with
     * their share of its batching, would earn in it.
     */
    private static final double VALUE_PER_SECOND = 6;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EngineProfile profile;
    private final PlacementMargins margins;

    /**
     * Creates a placer.
     *
     * @param profile figures of the engines
     */
    public EnginePlacer(EngineProfile profile) {
        this(profile, PlacementMargins.STANDARD);
    }

    /**
     * Creates a placer for an experiment.
     *
     * @param profile figures of the engines
     * @param margins how much is left in hand
     */
    public EnginePlacer(EngineProfile profile, PlacementMargins margins) {
        this.profile = profile;
        this.margins = margins;
    }

    /**
     * An engine's figures for one size of part.
     *
     * @param candidate the engine
     * @param leadDoneMillis when it will have read the part as the engine that answers, from now
     * @param helperDoneMillis when it will have read the part as a helper, from now
     * @param tokenGapMillis pause that its writers will have
     * @param loss value that its writers lose, and the cost of its side of the shortPoolSize
     * @param ownTokenGapMillis pause that the new answer will have there
     * @param rank all that speaks against it
     */
    private record Score(
            EngineCandidate candidate,
            double leadDoneMillis,
            double helperDoneMillis,
            double tokenGapMillis,
            double loss,
            double ownTokenGapMillis,
            double rank) {}

    /**
     * Chooses the engines for a prompt.
     *
     * @param request the prompt
     * @param candidates engines that may be used, in the order that all routers share
     * @param nowMillis the time
     * @return the choice; without parts if no engine can give a first event before the caller leaves
     */
    public PlacementChoice choose(PromptRequest request, List<EngineCandidate> candidates, long nowMillis) {
        PlacementChoice best = none();
        PendingPrefills pending = new PendingPrefills(candidates, nowMillis);
        double price = pricePerMilli(candidates, nowMillis) * profile.prefillMillis(request.promptTokens(), 1);
        for (int partCount : PART_COUNTS) {
            double part = profile.prefillMillis(request.promptTokens(), partCount);
            if (partCount > candidates.size() || partCount > 1 && part < MIN_PART_MILLIS) {
                break;
            }
            List<Score> scores = score(request, partCount, part, candidates, pending, nowMillis);
            PlacementChoice choice =
                    chooseWith(request, scores, partCount, part, pending).withAddedCost(price);
            boolean withinPatience = choice.found() && choice.firstTokenMillis() <= request.patienceMillis();
            if (withinPatience && choice.cost() < best.cost()) {
                best = choice;
            }
        }
        return best;
    }

    /** Returns what a millisecond of an engine is worth to others now. */
    private double pricePerMilli(List<EngineCandidate> candidates, long nowMillis) {
        double busy = 0;
        for (EngineCandidate candidate : candidates) {
            busy += candidate.load().utilization(nowMillis);
        }
        double scarcity = (busy / Math.max(1, candidates.size()) - margins.scarcityThreshold())
                / (FULL_PRICE_UTILIZATION - margins.scarcityThreshold());
        return Math.max(0, Math.min(1, scarcity)) * VALUE_PER_SECOND / MILLIS_PER_SECOND;
    }

    /** The choice of no engine. */
    private static PlacementChoice none() {
        return new PlacementChoice(List.of(), 0, 0, Double.MAX_VALUE, 0, false);
    }

    /** Returns how many engines, from the first on, are kept for short prompts now. */
    static int shortPoolSize(List<EngineCandidate> candidates) {
        int shortRequests = 0;
        for (EngineCandidate candidate : candidates) {
            shortRequests += candidate.load().shortLeadCount();
        }
        int needed = (int) Math.ceil(shortRequests / SHORT_REQUESTS_PER_ENGINE + SPARE_ENGINES);
        return Math.max(1, Math.min(candidates.size() - 1, needed));
    }

    /** Scores all engines for a part, the most suitable first. */
    private List<Score> score(
            PromptRequest request,
            int partCount,
            double partMillis,
            List<EngineCandidate> candidates,
            PendingPrefills pending,
            long nowMillis) {
        boolean isShort = request.promptTokens() <= PromptValue.SHORT_TOKENS;
        double value = PromptValue.of(request.promptTokens());
        int shortPoolSize = shortPoolSize(candidates);
        List<Score> scores = new ArrayList<>(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            EngineCandidate candidate = candidates.get(i);
            EngineLoad load = candidate.load();
            double lead = load.prefillDoneMillis(partMillis, partCount > 1, nowMillis) + slotWaitMillis(load);
            double gap = load.tokenGapMillis(partMillis, nowMillis);
            double gapLoss = load.tokenGapLoss(gap, margins.tokenGapSpread())
                    - load.tokenGapLoss(load.tokenGapMillis(0, nowMillis), margins.tokenGapSpread())
                    + poolCost(isShort, i, shortPoolSize, candidates.size());
            double lateLoss = value
                    * PromptValue.LATE_LOSS_SHARE
                    * Lateness.probability(lead, request.targetLatencyMillis(), Lateness.WAIT_SPREAD);
            double pendingLoss = pending.loss(candidate, partMillis, partCount > 1);
            double failureLoss = value * candidate.failureProbability();
            double helper = lead - slotWaitMillis(load);
            scores.add(new Score(
                    candidate,
                    lead,
                    helper,
                    gap,
                    gapLoss,
                    load.ownTokenGapMillis(partCount > 1, nowMillis),
                    gapLoss + lateLoss + pendingLoss + failureLoss));
        }
        scores.sort(Comparator.comparingDouble(Score::rank));
        return scores;
    }

    /** Returns the cost of an engine's place in the common order. */
    private static double poolCost(boolean isShort, int place, int shortPoolSize, int engines) {
        boolean inShortPool = place < shortPoolSize;
        double otherPool = inShortPool == isShort ? 0 : OTHER_POOL_COST;
        double position = (double) place / engines;
        return otherPool + POSITION_COST * (isShort ? position : 1 - position);
    }

    /** Predicts how long a request waits until an engine has a slot for it. */
    private double slotWaitMillis(EngineLoad load) {
        int overSlots = load.leadCount() - profile.slots() + 1;
        return overSlots <= 0 ? 0 : overSlots * MEAN_SLOT_MILLIS / profile.slots();
    }

    /** Makes the choice for one number of parts. */
    private PlacementChoice chooseWith(
            PromptRequest request, List<Score> scores, int partCount, double partMillis, PendingPrefills pending) {
        long tokens = request.promptTokens() + request.answerTokens();
        Score lead = scores.stream()
                .filter(score -> freeTokens(score) >= tokens)
                .min(Comparator.comparingDouble(score -> score.rank() + ownTokenGapLoss(request, score)))
                .orElse(null);
        boolean splitsMemory = lead == null;
        if (splitsMemory) {
            lead = scores.stream()
                    .max(Comparator.comparingLong(this::freeTokens))
                    .orElseThrow();
        }
        List<Score> chosen = new ArrayList<>(List.of(lead));
        for (Score score : scores) {
            if (chosen.size() < partCount
                    && score != lead
                    && score.candidate().mayHelp()
                    && score.candidate().load().helperCount() < profile.slots()) {
                chosen.add(score);
            }
        }
        if (chosen.size() < partCount) {
            return none();
        }
        List<EnginePart> parts =
                splitsMemory ? reserved(chosen, tokens, partMillis) : unreserved(chosen, tokens, partMillis);
        if (parts.isEmpty()) {
            return none();
        }
        List<EngineCandidate> engines = chosen.stream().map(Score::candidate).toList();
        return rate(request, chosen, parts, splitsMemory, pending.loss(engines, partMillis, partCount > 1));
    }

    /** Estimates what the new answer loses by its pause if an engine writes it. */
    private double ownTokenGapLoss(PromptRequest request, Score score) {
        return PromptValue.of(request.promptTokens())
                * PromptValue.tokenGapLoss(
                        score.ownTokenGapMillis(), request.tokenGapTargetMillis(), margins.tokenGapSpread());
    }

    /** Returns the memory of an engine that is free to plan with. */
    private long freeTokens(Score score) {
        return (long) (profile.memoryTokens() * USABLE_MEMORY_SHARE)
                - score.candidate().load().memoryTokens();
    }

    /** Makes parts of which the first holds all memory. */
    private static List<EnginePart> unreserved(List<Score> chosen, long tokens, double partMillis) {
        List<EnginePart> parts = new ArrayList<>(chosen.size());
        for (Score score : chosen) {
            parts.add(new EnginePart(score.candidate().engine(), partMillis, parts.isEmpty() ? tokens : 0));
        }
        return parts;
    }

    /** Makes parts that share the memory; empty if they have too little together. */
    private List<EnginePart> reserved(List<Score> chosen, long tokens, double partMillis) {
        long missing = tokens;
        List<EnginePart> parts = new ArrayList<>(chosen.size());
        for (int i = 0; i < chosen.size(); i++) {
            long even = missing / (chosen.size() - i) + 1;
            boolean holds = i == 0 || chosen.get(i).candidate().reservable();
            long held = holds ? Math.max(0, Math.min(freeTokens(chosen.get(i)), i == 0 ? missing : even)) : 0;
            if (i == 0 && chosen.size() > 1) {
                held = Math.min(held, 2 * even);
            }
            missing -= held;
            parts.add(new EnginePart(chosen.get(i).candidate().engine(), partMillis, held));
        }
        return missing > 0 ? List.of() : parts;
    }

    /** Predicts what a choice costs. */
    private PlacementChoice rate(
            PromptRequest request,
            List<Score> chosen,
            List<EnginePart> parts,
            boolean splitsMemory,
            double pendingPrefillLoss) {
        double firstToken = 0;
        double gap = 0;
        double loss = pendingPrefillLoss;
        double ownGap = ownTokenGapLoss(request, chosen.get(0));
        double successProbability = 1;
        for (int i = 0; i < chosen.size(); i++) {
            Score score = chosen.get(i);
            boolean lead = i == 0;
            firstToken = Math.max(firstToken, lead ? score.leadDoneMillis() : score.helperDoneMillis());
            gap = Math.max(gap, score.tokenGapMillis());
            loss += score.loss();
            successProbability *= 1 - score.candidate().failureProbability();
        }
        double ownLossShare = PromptValue.waitLoss(firstToken, request.targetLatencyMillis(), request.waitedMillis())
                + 1
                - successProbability
                + HELPER_COST_SHARE * (chosen.size() - 1);
        double cost = loss + ownGap + PromptValue.of(request.promptTokens()) * ownLossShare;
        return new PlacementChoice(parts, firstToken, gap, cost, loss, splitsMemory);
    }
}
