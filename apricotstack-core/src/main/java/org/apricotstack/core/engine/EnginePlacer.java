package org.apricotstack.core.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the engines for a prompt so that the expected loss of value over all requests is least.
 *
 * <p>Load that it answers: short prompts that write with pauses of a fraction of a second, beside long ones whose
 * reading takes seconds. A pass lasts as long as everything that is read in it, so a long reading next to short writers
 * makes all of them late. For each number of parts the loss of each engine's writers and readers and the lateness of
 * the new request are predicted; the cheapest combination wins.
 *
 * <p>Short prompts keep to the first engines of an order that all routers share, as many as their number needs now, and
 * long ones use the others. The border follows the load at once and needs no agreement: every router counts the same
 * short requests.
 */
public final class EnginePlacer {

    /** Numbers of engines that a reading is shared by; 17 is the first engine and the most helpers that it takes. */
    private static final int[] SHARES = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17};

    /** Parts shorter than this are not made, in milliseconds: a step of a pass is about 1 ms, its overhead counts. */
    private static final double LEAST_PART_MILLIS = 25;

    /** Short requests that one engine runs well at once: its pass leaves room for reading within their pause. */
    private static final double SHORT_PER_ENGINE = 7.5;

    /** Engines kept for short prompts beyond what they need now, for those of the next moment. */
    private static final double SPARE_ENGINES = 1.2;

    /** Cost of a place across the border, in the units of {@link PromptValue}: a third of a late short answer. */
    private static final double BORDER_COST = 0.35;

    /** Cost of the far end of the own side, so that each side fills from its end. */
    private static final double ORDER_COST = 0.06;

    /** Cost of each helper as a share of the request's value, so that helpers are not used where they gain nothing. */
    private static final double HELPER_COST_SHARE = 0.002;

    /** Share of an engine's memory that is planned with; the rest covers what peers placed a moment ago. */
    private static final double MEMORY_SHARE = 0.96;

    /** Mean time that a request holds a slot, in milliseconds, for predicting when a full engine has room. */
    private static final double SLOT_HOLD_MILLIS = 1_700;

    /** Share of the engines in use at which their time has its full price. */
    private static final double SCARCE_TO = 0.95;

    /**
     * Value of a second of an engine when all are in use: what short prompts, which take 0.2 s of an engine each with
     * their share of its passes, would earn in it.
     */
    private static final double VALUE_PER_SECOND = 6;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EngineProfile profile;
    private final PlacementCaution caution;

    /**
     * Creates a placer.
     *
     * @param profile figures of the engines
     */
    public EnginePlacer(EngineProfile profile) {
        this(profile, PlacementCaution.STANDARD);
    }

    /**
     * Creates a placer for an experiment.
     *
     * @param profile figures of the engines
     * @param caution how much is left in hand
     */
    public EnginePlacer(EngineProfile profile, PlacementCaution caution) {
        this.profile = profile;
        this.caution = caution;
    }

    /**
     * An engine's figures for one size of part.
     *
     * @param candidate the engine
     * @param leadMillis when it will have read the part as the engine that answers, from now
     * @param helpMillis when it will have read the part as a helper, from now
     * @param pauseMillis pause that its writers will have
     * @param loss value that its writers lose, and the cost of its side of the border
     * @param ownPauseMillis pause that the new answer will have there
     * @param rank all that speaks against it
     */
    private record Score(
            EngineCandidate candidate,
            double leadMillis,
            double helpMillis,
            double pauseMillis,
            double loss,
            double ownPauseMillis,
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
        OpenReadings open = new OpenReadings(candidates, nowMillis);
        double price = pricePerMilli(candidates, nowMillis) * profile.prefillMillis(request.promptTokens(), 1);
        for (int shares : SHARES) {
            double part = profile.prefillMillis(request.promptTokens(), shares);
            if (shares > candidates.size() || shares > 1 && part < LEAST_PART_MILLIS) {
                break;
            }
            List<Score> scores = score(request, shares, part, candidates, open, nowMillis);
            PlacementChoice choice =
                    chooseWith(request, scores, shares, part, open).plus(price);
            boolean inTime = choice.found() && choice.firstTokenMillis() <= request.patienceMillis();
            if (inTime && choice.cost() < best.cost()) {
                best = choice;
            }
        }
        return best;
    }

    /** Returns what a millisecond of an engine is worth to others now. */
    private double pricePerMilli(List<EngineCandidate> candidates, long nowMillis) {
        double busy = 0;
        for (EngineCandidate candidate : candidates) {
            busy += candidate.load().busyShare(nowMillis);
        }
        double scarcity =
                (busy / Math.max(1, candidates.size()) - caution.scarceFrom()) / (SCARCE_TO - caution.scarceFrom());
        return Math.max(0, Math.min(1, scarcity)) * VALUE_PER_SECOND / MILLIS_PER_SECOND;
    }

    /** The choice of no engine. */
    private static PlacementChoice none() {
        return new PlacementChoice(List.of(), 0, 0, Double.MAX_VALUE, 0, false);
    }

    /** Returns how many engines, from the first on, are kept for short prompts now. */
    static int border(List<EngineCandidate> candidates) {
        int shortRequests = 0;
        for (EngineCandidate candidate : candidates) {
            shortRequests += candidate.load().shortLeads();
        }
        int needed = (int) Math.ceil(shortRequests / SHORT_PER_ENGINE + SPARE_ENGINES);
        return Math.max(1, Math.min(candidates.size() - 1, needed));
    }

    /** Scores all engines for a part, the most suitable first. */
    private List<Score> score(
            PromptRequest request,
            int shares,
            double partMillis,
            List<EngineCandidate> candidates,
            OpenReadings open,
            long nowMillis) {
        boolean isShort = request.promptTokens() <= PromptValue.SHORT_TOKENS;
        double value = PromptValue.of(request.promptTokens());
        int border = border(candidates);
        List<Score> scores = new ArrayList<>(candidates.size());
        for (int i = 0; i < candidates.size(); i++) {
            EngineCandidate candidate = candidates.get(i);
            EngineLoad load = candidate.load();
            double lead = load.readyMillis(partMillis, shares > 1, nowMillis) + slotWaitMillis(load);
            double pause = load.pauseMillis(partMillis, nowMillis);
            double loss = load.lossByPause(pause, caution.pauseSpread())
                    - load.lossByPause(load.pauseMillis(0, nowMillis), caution.pauseSpread())
                    + sideCost(isShort, i, border, candidates.size());
            double late = value
                    * PromptValue.LATE_LOSS_SHARE
                    * Lateness.probability(lead, request.targetLatencyMillis(), Lateness.WAIT_SPREAD);
            double waiting = open.loss(candidate, partMillis, shares > 1);
            double failing = value * candidate.failureProbability();
            double help = lead - slotWaitMillis(load);
            scores.add(new Score(
                    candidate,
                    lead,
                    help,
                    pause,
                    loss,
                    load.ownPauseMillis(shares > 1, nowMillis),
                    loss + late + waiting + failing));
        }
        scores.sort(Comparator.comparingDouble(Score::rank));
        return scores;
    }

    /** Returns the cost of an engine's place in the common order. */
    private static double sideCost(boolean isShort, int place, int border, int engines) {
        boolean shortSide = place < border;
        double across = shortSide == isShort ? 0 : BORDER_COST;
        double far = (double) place / engines;
        return across + ORDER_COST * (isShort ? far : 1 - far);
    }

    /** Predicts how long a request waits until an engine has a slot for it. */
    private double slotWaitMillis(EngineLoad load) {
        int beyond = load.leadCount() - profile.slots() + 1;
        return beyond <= 0 ? 0 : beyond * SLOT_HOLD_MILLIS / profile.slots();
    }

    /** Makes the choice for one number of parts. */
    private PlacementChoice chooseWith(
            PromptRequest request, List<Score> scores, int shares, double partMillis, OpenReadings open) {
        long tokens = request.promptTokens() + request.answerTokens();
        Score lead = scores.stream()
                .filter(score -> freeTokens(score) >= tokens)
                .min(Comparator.comparingDouble(score -> score.rank() + lossByOwnPause(request, score)))
                .orElse(null);
        boolean reserves = lead == null;
        if (reserves) {
            lead = scores.stream()
                    .max(Comparator.comparingLong(this::freeTokens))
                    .orElseThrow();
        }
        List<Score> chosen = new ArrayList<>(List.of(lead));
        for (Score score : scores) {
            if (chosen.size() < shares
                    && score != lead
                    && score.candidate().helps()
                    && score.candidate().load().helps() < profile.slots()) {
                chosen.add(score);
            }
        }
        if (chosen.size() < shares) {
            return none();
        }
        List<EnginePart> parts =
                reserves ? reserved(chosen, tokens, partMillis) : unreserved(chosen, tokens, partMillis);
        if (parts.isEmpty()) {
            return none();
        }
        List<EngineCandidate> engines = chosen.stream().map(Score::candidate).toList();
        return rate(request, chosen, parts, reserves, open.loss(engines, partMillis, shares > 1));
    }

    /** Estimates what the new answer loses by its pause if an engine writes it. */
    private double lossByOwnPause(PromptRequest request, Score score) {
        return PromptValue.of(request.promptTokens())
                * PromptValue.lossByPause(
                        score.ownPauseMillis(), request.tokenGapTargetMillis(), caution.pauseSpread());
    }

    /** Returns the memory of an engine that is free to plan with. */
    private long freeTokens(Score score) {
        return (long) (profile.memoryTokens() * MEMORY_SHARE)
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
            boolean reserves,
            double lossOfReadings) {
        double firstToken = 0;
        double pause = 0;
        double loss = lossOfReadings;
        double ownPause = lossByOwnPause(request, chosen.get(0));
        double whole = 1;
        for (int i = 0; i < chosen.size(); i++) {
            Score score = chosen.get(i);
            boolean lead = i == 0;
            firstToken = Math.max(firstToken, lead ? score.leadMillis() : score.helpMillis());
            pause = Math.max(pause, score.pauseMillis());
            loss += score.loss();
            whole *= 1 - score.candidate().failureProbability();
        }
        double share = PromptValue.lossByWait(firstToken, request.targetLatencyMillis(), request.waitedMillis())
                + 1
                - whole
                + HELPER_COST_SHARE * (chosen.size() - 1);
        double cost = loss + ownPause + PromptValue.of(request.promptTokens()) * share;
        return new PlacementChoice(parts, firstToken, pause, cost, loss, reserves);
    }
}
