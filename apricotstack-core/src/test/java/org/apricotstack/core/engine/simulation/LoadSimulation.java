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

/** Plays a load in virtual time: prompts are placed on engines by what one loadTable tells of all of them. */
final class LoadSimulation implements SimulatedEngine.Listener {

    private static final ProcessId ROUTER = new ProcessId(new HostId("router"), 1);

    /** Time between two looks of a prompt that waits, and from a decision to its arrival at the engines. */
    private static final long RECHECK_MILLIS = 100;

    private static final long SEND_MILLIS = 5;

    /** Time after the last arrival until which answers may end. */
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
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Map<Long, SimulatedRequest> placed = new HashMap<>();
    private final List<SimulatedRequest> requests = new ArrayList<>();
    private double nowMillis;
    private long numbers;

    /**
     * Something that is due at a moment.
     *
     * @param atMillis the moment
     * @param order decides between those of one moment
     * @param action what is done
     */
    private record Timer(double atMillis, long order, Runnable action) implements Comparable<Timer> {

        @Override
        public int compareTo(Timer other) {
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

    /** Plays a load once and returns its requests. */
    static List<SimulatedRequest> play(SimulatedLoad load, PlacementPolicy.Factory factory, long seed) {
        LoadSimulation play = new LoadSimulation(load, factory, seed);
        for (int kind = 0; kind < load.kinds().size(); kind++) {
            play.arriveNext(kind, 0);
        }
        play.run();
        return play.requests;
    }

    /** Plays a load with some seeds and returns the share of the value valueOnTime that was earnedValue. */
    static double earnedShare(SimulatedLoad load, PlacementPolicy.Factory factory, int seeds) {
        double valueOnTime = 0;
        double earnedValue = 0;
        for (int seed = 1; seed <= seeds; seed++) {
            for (SimulatedRequest request : play(load, factory, seed)) {
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
            engines.values().forEach(SimulatedEngine::act);
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
        timers.add(new Timer(Math.max(millis, nowMillis), ++numbers, action));
    }

    /** Draws the next arrival of a kind; candidates at the greatest rate are thinned out to the rate of the moment. */
    private void arriveNext(int kind, double fromMillis) {
        double most = load.maxPerSecond(kind);
        double at = fromMillis;
        do {
            at -= Math.log(1 - random.nextDouble()) / most * MILLIS_PER_SECOND;
        } while (random.nextDouble() * most > load.ratePerSecond(kind, at));
        double arrivalMillis = at;
        if (arrivalMillis < load.lengthMillis()) {
            at(arrivalMillis, () -> {
                arrive(load.kinds().get(kind));
                arriveNext(kind, arrivalMillis);
            });
        }
    }

    private void arrive(PromptClass kind) {
        long tokens = (long) drawn(kind.meanTokens(), kind.spread(), kind.maxTokens());
        int events = (int) drawn(kind.meanEvents(), EVENT_SPREAD, kind.meanEvents() * MAX_EVENTS_RATIO);
        SimulatedRequest request = new SimulatedRequest(kind, tokens, events, nowMillis);
        requests.add(request);
        at(nowMillis + kind.patienceMillis(), () -> {
            if (!request.hasStarted()) {
                leave(request);
            }
        });
        at(nowMillis + kind.limitMillis(), () -> leave(request));
        decide(request);
    }

    /** Draws a length around a mean, at least 1. */
    private double drawn(double mean, double spread, double most) {
        double sigma = Math.sqrt(Math.log(1 + spread * spread));
        return Math.max(1, Math.min(most, mean * Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2)));
    }

    private void leave(SimulatedRequest request) {
        if (!request.isOver()) {
            request.leave();
            end(request);
        }
    }

    private void end(SimulatedRequest request) {
        EnginePlacement placement = request.placement();
        if (placement != null) {
            loadTable.remove(placement.id(), (long) nowMillis);
            placement.parts().forEach(part -> engines.get(part.engine())
                    .drop(placement.id().number()));
            placed.remove(placement.id().number());
        }
    }

    /** Places a prompt, lets it wait, or refuses it, by the rules that routers follow. */
    private void decide(SimulatedRequest request) {
        if (request.isOver()) {
            return;
        }
        PromptClass kind = request.kind();
        long waited = (long) (nowMillis - request.arrivedMillis());
        long left = (long) (kind.limitMillis() - waited);
        long patience = (long) (kind.patienceMillis() * PLANNED_SHARE);
        PromptRequest prompt = new PromptRequest(
                request.tokens(),
                (long) (kind.meanEvents() * load.profile().decodeStepsPerBatchStep()),
                Math.max(1, (long) kind.targetMillis() - waited),
                (long) kind.tokenGapTargetMillis(),
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
        placed.put(number, request);
        loadTable.place(placement, (long) nowMillis, (long) request.kind().limitMillis());
        at(nowMillis + SEND_MILLIS, () -> {
            if (!request.isOver()) {
                for (EnginePart part : placement.parts()) {
                    engines.get(part.engine())
                            .take(number, placement.isShared(), part == placement.lead(), part.prefillMillis());
                }
            }
        });
    }

    @Override
    public void read(UpstreamId engine, long number) {
        SimulatedRequest request = placed.get(number);
        if (request == null || !request.prefillDoneBy(engine)) {
            return;
        }
        loadTable.startDecoding(request.placement().id(), (long) nowMillis);
        engines.get(request.placement().lead().engine()).write(number, request.tokens());
        event(number);
    }

    @Override
    public void event(long number) {
        SimulatedRequest request = placed.get(number);
        if (request == null) {
            return;
        }
        request.event(nowMillis);
        if (request.isComplete()) {
            end(request);
        }
    }
}
