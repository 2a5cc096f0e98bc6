package org.apricotstack.core.engine.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

import org.apricotstack.core.engine.EngineCandidate;
import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EnginePart;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.PlacementChoice;
import org.apricotstack.core.engine.PlacementId;
import org.apricotstack.core.engine.PromptAdmission;
import org.apricotstack.core.engine.PromptRequest;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/** Simulates a load in virtual time: prompts are placed on engines from one load table that knows all placements. */
final class LoadSimulation implements SimulatedEngine.Listener {

    private static final ProcessId ROUTER = new ProcessId(new HostId("router"), 1);

    /** Interval at which a waiting prompt is re-evaluated, and delay from a decision to its arrival at the engines. */
    private static final long RECHECK_MILLIS = 100;

    private static final long SEND_MILLIS = 5;

    /** Time after the last arrival in which answers may end. */
    private static final long END_MILLIS = 20_000;

    /** Share of a caller's patience that a prediction may use. */
    private static final double PLANNED_SHARE = 0.9;

    private static final double EVENT_SPREAD = 0.6;
    private static final double MAX_EVENTS_RATIO = 2.5;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final SimulatedLoad load;
    private final PlacementPolicy placing;
    private final Random random;
    private final EngineLoadTable loadTable = new EngineLoadTable();
    private final Map<UpstreamId, SimulatedEngine> engines = new HashMap<>();
    private final List<EngineCandidate> candidates = new ArrayList<>();
    private final PriorityQueue<TimedAction> timers = new PriorityQueue<>();
    private final Map<Long, SimulatedRequest> placedRequests = new HashMap<>();
    private final List<SimulatedRequest> requests = new ArrayList<>();
    private double nowMillis;
    private long numbers;

    /**
     * An action that is due at a point in time.
     *
     * @param atMillis the time
     * @param order tie-break between actions of the same time
     * @param action the action
     */
    private record TimedAction(double atMillis, long order, Runnable action) implements Comparable<TimedAction> {

        @Override
        public int compareTo(TimedAction other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime == 0 ? Long.compare(order, other.order) : byTime;
        }
    }

    private LoadSimulation(SimulatedLoad load, PlacementPolicy.Factory factory, long seed) {
        this.load = load;
        this.placing = factory.of(load.profile());
        this.random = new Random(seed);
        for (int i = 0; i < load.engines(); i++) {
            UpstreamId id = new UpstreamId(String.format("engine-%04d", i));
            double slowdown = 1 + (load.maxSlowdown() - 1) * random.nextDouble();
            engines.put(id, new SimulatedEngine(id, load.profile(), slowdown, this));
            loadTable.load(id).profile(load.profile());
            candidates.add(new EngineCandidate(id, loadTable.load(id), 0, true));
        }
    }

    /** Simulates a load once and returns its requests. */
    static List<SimulatedRequest> simulate(SimulatedLoad load, PlacementPolicy.Factory factory, long seed) {
        LoadSimulation simulation = new LoadSimulation(load, factory, seed);
        for (int promptClass = 0; promptClass < load.classes().size(); promptClass++) {
            simulation.arriveNext(promptClass, 0);
        }
        simulation.run();
        return simulation.requests;
    }

    /** Simulates a load with several seeds and returns the share of the possible value that was earned. */
    static double earnedShare(SimulatedLoad load, PlacementPolicy.Factory factory, int seeds) {
        double valueOnTime = 0;
        double earnedValue = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            for (SimulatedRequest request : simulate(load, factory, seed)) {
                valueOnTime += request.valueOnTime();
                earnedValue += request.earnedValue();
            }
        }
        return earnedValue / valueOnTime;
    }

    private void run() {
        double next = nextMillis();
        while (next <= load.lengthMillis() + END_MILLIS) {
            nowMillis = Math.max(nowMillis, next);
            for (SimulatedEngine engine : engines.values()) {
                engine.advance(nowMillis);
            }
            engines.values().forEach(SimulatedEngine::fireDue);
            while (!timers.isEmpty() && timers.peek().atMillis() <= nowMillis) {
                timers.poll().action().run();
            }
            next = nextMillis();
        }
    }

    private double nextMillis() {
        double next =
                timers.isEmpty() ? Double.POSITIVE_INFINITY : timers.peek().atMillis();
        for (SimulatedEngine engine : engines.values()) {
            next = Math.min(next, engine.nextMillis());
        }
        return next;
    }

    private void at(double millis, Runnable action) {
        timers.add(new TimedAction(Math.max(millis, nowMillis), ++numbers, action));
    }

    /**
     * Draws the next arrival of a class by thinning: candidates arrive at the maximum rate and are accepted with the
     * ratio of the current rate to it.
     */
    private void arriveNext(int promptClass, double fromMillis) {
        double maxRate = load.maxPerSecond(promptClass);
        double at = fromMillis;
        do {
            at -= Math.log(1 - random.nextDouble()) / maxRate * MILLIS_PER_SECOND;
        } while (random.nextDouble() * maxRate > load.ratePerSecond(promptClass, at));
        double arrivalMillis = at;
        if (arrivalMillis < load.lengthMillis()) {
            at(arrivalMillis, () -> {
                arrive(load.classes().get(promptClass));
                arriveNext(promptClass, arrivalMillis);
            });
        }
    }

    private void arrive(PromptClass promptClass) {
        long tokens = (long) randomLength(promptClass.meanTokens(), promptClass.spread(), promptClass.maxTokens());
        int events =
                (int) randomLength(promptClass.meanEvents(), EVENT_SPREAD, promptClass.meanEvents() * MAX_EVENTS_RATIO);
        SimulatedRequest request = new SimulatedRequest(promptClass, tokens, events, nowMillis);
        requests.add(request);
        at(nowMillis + promptClass.patienceMillis(), () -> {
            if (!request.hasStarted()) {
                leave(request);
            }
        });
        at(nowMillis + promptClass.limitMillis(), () -> leave(request));
        decide(request);
    }

    /** Draws a length around a mean, at least 1. */
    private double randomLength(double mean, double spread, double max) {
        double sigma = Math.sqrt(Math.log(1 + spread * spread));
        return Math.max(1, Math.min(max, mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2)));
    }

    private void leave(SimulatedRequest request) {
        if (!request.isOver()) {
            request.disconnect();
            end(request);
        }
    }

    private void end(SimulatedRequest request) {
        EnginePlacement placement = request.placement();
        if (placement != null) {
            loadTable.remove(placement.id(), (long) nowMillis);
            placement.parts().forEach(part -> engines.get(part.engine())
                    .remove(placement.id().number()));
            placedRequests.remove(placement.id().number());
        }
    }

    /** Places a prompt, lets it wait, or refuses it, by the rules that routers follow. */
    private void decide(SimulatedRequest request) {
        if (request.isOver()) {
            return;
        }
        PromptClass promptClass = request.promptClass();
        long waited = (long) (nowMillis - request.arrivedMillis());
        long left = (long) (promptClass.limitMillis() - waited);
        long patience = (long) (promptClass.patienceMillis() * PLANNED_SHARE);
        PromptRequest prompt = new PromptRequest(
                request.tokens(),
                (long) (promptClass.meanEvents() * load.profile().decodeStepsPerBatchStep()),
                Math.max(1, (long) promptClass.targetMillis() - waited),
                (long) promptClass.tokenGapTargetMillis(),
                Math.min(left, patience - waited),
                waited);
        PlacementChoice choice = placing.choose(prompt, candidates, (long) nowMillis);
        boolean waits = choice.found()
                ? PromptAdmission.isExpensive(choice, request.tokens())
                        && PromptAdmission.mayWait(choice.firstTokenMillis(), waited, patience, left)
                : PromptAdmission.mayWait(0, waited, patience, left);
        if (waits) {
            at(nowMillis + RECHECK_MILLIS, () -> decide(request));
        } else if (choice.found() && !placing.refuses(choice, request.tokens())) {
            place(request, prompt, choice);
        } else {
            leave(request);
        }
    }

    private void place(SimulatedRequest request, PromptRequest prompt, PlacementChoice choice) {
        long number = ++numbers;
        EnginePlacement placement = new EnginePlacement(
                new PlacementId(ROUTER, number),
                choice.parts(),
                request.tokens(),
                prompt.targetLatencyMillis(),
                prompt.tokenGapTargetMillis());
        request.place(placement);
        placedRequests.put(number, request);
        loadTable.place(
                placement, (long) nowMillis, (long) request.promptClass().limitMillis());
        at(nowMillis + SEND_MILLIS, () -> {
            if (!request.isOver()) {
                for (EnginePart part : placement.parts()) {
                    engines.get(part.engine())
                            .submit(number, placement.isShared(), part == placement.lead(), part.prefillMillis());
                }
            }
        });
    }

    @Override
    public void prefillDone(UpstreamId engine, long number) {
        SimulatedRequest request = placedRequests.get(number);
        if (request == null || !request.prefillDoneBy(engine)) {
            return;
        }
        loadTable.startDecoding(request.placement().id(), (long) nowMillis);
        engines.get(request.placement().lead().engine()).startDecoding(number, request.tokens());
        event(number);
    }

    @Override
    public void event(long number) {
        SimulatedRequest request = placedRequests.get(number);
        if (request == null) {
            return;
        }
        request.event(nowMillis);
        if (request.isComplete()) {
            end(request);
        }
    }
}
