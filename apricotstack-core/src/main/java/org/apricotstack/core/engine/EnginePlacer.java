package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the engines for a prompt so that the expected loss of value over all requests is lowest.
 *
 * <p>The load is a mix of short prompts, whose answers need a token every fraction of a second, and long prompts,
 * whose prefill takes seconds. A batch step lasts as long as all the prefill in it, so a long prefill on an engine
 * that decodes short answers delays all of them. For each number of parts, the placer predicts the loss of the
 * requests already on each engine and the latency of the new one, and takes the cheapest combination.
 *
 * <p>Short prompts use the first engines of an order that all routers share, as many as the number of short requests
 * needs now; long prompts use the others. The size of this pool follows the load at once and needs no agreement
 * between routers, because every router counts the same short requests.
 */
public final class EnginePlacer {

    /**
     * Numbers of engines that may share a prefill; 17 is the lead engine and the largest number of helpers per
     * request.
     */
    private static final int[] PART_COUNTS = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17};

    /**
     * Minimum prefill of a part, in milliseconds: a decode step takes about 1 ms, so smaller parts have too much
     * overhead.
     */
    private static final double MIN_PART_MILLIS = 25;

    /**
     * Short requests that one engine runs well at once: its batch step has time for prefill within their token gap
     * target.
     */
    private static final double SHORT_REQUESTS_PER_ENGINE = 7.5;

    /** Engines added to the pool for short prompts beyond the current need, for prompts about to arrive. */
    private static final double SPARE_ENGINES = 1.2;

    /**
     * Cost of an engine outside the prompt's own pool, in the units of {@link PromptValue}: a third of a late short
     * answer.
     */
    private static final double OTHER_POOL_COST = 0.35;

    /** Cost of the far end of the prompt's own pool, so that each pool fills from its own end. */
    private static final double POSITION_COST = 0.06;

    /** Cost of each helper as a share of the request's value, so that helpers that gain nothing are not used. */
    private static final double HELPER_COST_SHARE = 0.002;

    /** Share of an engine's memory that placements may use; the rest covers what other routers placed a moment ago. */
    private static final double USABLE_MEMORY_SHARE = 0.96;

    /** Mean time that a request holds a slot, in milliseconds; predicts when a full engine has a free slot. */
    private static final double MEAN_SLOT_MILLIS = 1_700;

    /** Mean utilization of the engines from which engine time has its full price. */
    private static final double FULL_PRICE_UTILIZATION = 0.95;

    /**
     * Value of a second of engine time when all engines are in use: what short prompts would earn in that second. Each
     * of them takes 0.2 s of an engine, including its share of the batch steps.
     */
    private static final double VALUE_PER_SECOND = 6;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EngineProfile profile;
    private final PlacementMargins margins;

    /**
     * Creates a placer with the standard margins.
     *
     * @param profile figures of the engines
     */
    public EnginePlacer(EngineProfile profile) {
        this(profile, PlacementMargins.STANDARD);
    }

    /**
     * Creates a placer with other margins, for experiments.
     *
     * @param profile figures of the engines
     * @param margins allowances for prediction errors and scarce engines
     */
    public EnginePlacer(EngineProfile profile, PlacementMargins margins) {
        this.profile = profile;
        this.margins = margins;
    }

    /**
     * The figures of one engine for a part of a given size.
     *
     * @param candidate the engine
     * @param leadDoneMillis time until it has finished the part if it is the lead engine, in milliseconds
     * @param helperDoneMillis time until it has finished the part if it is a helper, in milliseconds
     * @param tokenGapMillis token gap that its decoding requests will have, in milliseconds
     * @param loss value that its decoding requests lose, plus the cost of its position in its pool
     * @param ownTokenGapMillis token gap that the new answer will have on it, in milliseconds
     * @param rank total expected cost; the lowest is the best
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
     * @param nowMillis the current time
     * @return the choice; without parts if no engine can return a first event before the caller disconnects
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

    /** Returns the value of a millisecond of engine time to other requests at the current utilization. */
    private double pricePerMilli(List<EngineCandidate> candidates, long nowMillis) {
        double busy = 0;
        for (EngineCandidate candidate : candidates) {
            busy += candidate.load().utilization(nowMillis);
        }
        double scarcity = (busy / Math.max(1, candidates.size()) - margins.scarcityThreshold())
                / (FULL_PRICE_UTILIZATION - margins.scarcityThreshold());
        return Math.max(0, Math.min(1, scarcity)) * VALUE_PER_SECOND / MILLIS_PER_SECOND;
    }

    /** Returns the choice that has no engine. */
    private static PlacementChoice none() {
        return new PlacementChoice(List.of(), 0, 0, Double.MAX_VALUE, 0, false);
    }

    /** Returns how many engines, counted from the first one, are reserved for short prompts now. */
    static int shortPoolSize(List<EngineCandidate> candidates) {
        int shortRequests = 0;
        for (EngineCandidate candidate : candidates) {
            shortRequests += candidate.load().shortLeadCount();
        }
        int needed = (int) Math.ceil(shortRequests / SHORT_REQUESTS_PER_ENGINE + SPARE_ENGINES);
        return Math.max(1, Math.min(candidates.size() - 1, needed));
    }

    /** Scores all engines for a part; the best one comes first. */
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

    /** Returns the cost of an engine's position in the shared order. */
    private static double poolCost(boolean isShort, int place, int shortPoolSize, int engines) {
        boolean inShortPool = place < shortPoolSize;
        double otherPool = inShortPool == isShort ? 0 : OTHER_POOL_COST;
        double position = (double) place / engines;
        return otherPool + POSITION_COST * (isShort ? position : 1 - position);
    }

    /** Predicts how long a request waits until an engine has a free slot for it. */
    private double slotWaitMillis(EngineLoad load) {
        int overSlots = load.leadCount() - profile.slots() + 1;
        return overSlots <= 0 ? 0 : overSlots * MEAN_SLOT_MILLIS / profile.slots();
    }

    /** Chooses the engines for one number of parts. */
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

    /** Estimates the value that the new answer loses by its token gap if an engine decodes it. */
    private double ownTokenGapLoss(PromptRequest request, Score score) {
        return PromptValue.of(request.promptTokens())
                * PromptValue.tokenGapLoss(
                        score.ownTokenGapMillis(), request.tokenGapTargetMillis(), margins.tokenGapSpread());
    }

    /** Returns the free memory of an engine that placements may use. */
    private long freeTokens(Score score) {
        return (long) (profile.memoryTokens() * USABLE_MEMORY_SHARE)
                - score.candidate().load().memoryTokens();
    }

    /** Makes parts of which the first holds all the memory. */
    private static List<EnginePart> unreserved(List<Score> chosen, long tokens, double partMillis) {
        List<EnginePart> parts = new ArrayList<>(chosen.size());
        for (Score score : chosen) {
            parts.add(new EnginePart(score.candidate().engine(), partMillis, parts.isEmpty() ? tokens : 0));
        }
        return parts;
    }

    /** Makes parts that share the memory; the list is empty if the engines have too little memory together. */
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

    /** Predicts the cost of a choice. */
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
