package org.apricotstack.core.suspect;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Stream;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.PromptPartId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/**
 * Simulates routers in virtual time whose requests all differ but share prompt parts, one of which crashes every
 * upstream that writes an answer on it.
 *
 * <p>Each request has the first part that all share, one of a few subjects or the crashing part, and a part of its own.
 */
final class PromptPartSimulation {

    /** Time after a start, or after the fifth crash, in which a router learns the full state, in milliseconds. */
    static final long SYNC_MILLIS = 3_000;

    private static final long SIMULATED_MILLIS = 45_000;
    private static final long CRASHING_FROM_MILLIS = 4_000;
    private static final long RESTART_INTERVAL_MILLIS = 700;
    private static final long FULL_STATE_INTERVAL_MILLIS = 500;
    private static final long SOUND_INTERVAL_MILLIS = 50;
    private static final long CRASH_DETECTION_MILLIS = 3;
    private static final long GOSSIP_MILLIS = 10;
    private static final long MAX_WAIT_MILLIS = 5_000;
    private static final int MAX_SENDS = 2;
    private static final int UPSTREAMS = 14;
    private static final int SUBJECTS = 40;
    private static final ServiceId SERVICE = new ServiceId("engines");
    private static final PromptPart FIRST = part(1);
    private static final PromptPart CRASHING = part(2);

    private final PromptPartScenario scenario;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<RouterModel> routers = new ArrayList<>();
    private final List<UpstreamModel> upstreams = new ArrayList<>();
    private final PromptPartOutcome outcome = new PromptPartOutcome(CRASHING);
    private long requests;
    private long starts;

    PromptPartSimulation(PromptPartScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int i = 0; i < scenario.routers(); i++) {
            routers.add(new RouterModel(i));
        }
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new UpstreamModel());
        }
    }

    private static PromptPart part(long id) {
        return new PromptPart(SERVICE, new PromptPartId(id));
    }

    private long now() {
        return time.nowMillis();
    }

    private void at(long millis, Runnable action) {
        time.at(millis, action);
    }

    private void every(long intervalMillis, long fromMillis, Runnable action) {
        for (long millis = fromMillis; millis < SIMULATED_MILLIS; millis += intervalMillis) {
            at(millis, action);
        }
    }

    private long upTo(long millis) {
        return (long) (random.nextDouble() * millis);
    }

    /** Runs the simulation until no events are left. */
    PromptPartOutcome run() {
        every(SOUND_INTERVAL_MILLIS, 0, this::soundRequest);
        if (scenario.crashingIntervalMillis() != PromptPartScenario.NO_CRASHING_REQUESTS) {
            every(scenario.crashingIntervalMillis(), CRASHING_FROM_MILLIS, this::crashingRequest);
        }
        if (scenario.lostShare() > 0 || scenario.faults() == SuspectScenario.RouterFaults.SPLIT) {
            every(
                    FULL_STATE_INTERVAL_MILLIS,
                    0,
                    () -> routers.forEach(router -> routers.forEach(router::sendFullState)));
        }
        if (scenario.faults() == SuspectScenario.RouterFaults.RESTARTS) {
            every(RESTART_INTERVAL_MILLIS, CRASHING_FROM_MILLIS, () -> anyOf(routers)
                    .restart());
        }
        for (int i = 1; i <= scenario.unrelatedCrashes(); i++) {
            at(CRASHING_FROM_MILLIS + 1_000L * i, () -> anyOf(upstreams).crash());
        }
        time.run();
        return outcome;
    }

    private <T> T anyOf(List<T> list) {
        return list.get(random.nextInt(list.size()));
    }

    private void soundRequest() {
        RequestModel request = new RequestModel(part(100 + random.nextInt(SUBJECTS)), anyOf(routers));
        request.send();
        outcome.soundRequest(now(), request.upstream != null);
    }

    private void crashingRequest() {
        switch (scenario.spread()) {
            case ONE -> new RequestModel(CRASHING, routers.get(0)).send();
            case ALL -> routers.forEach(router -> new RequestModel(CRASHING, router).send());
            default -> new RequestModel(CRASHING, anyOf(routers)).send();
        }
    }

    private long crashingInFlight() {
        return upstreams.stream()
                .flatMap(one -> one.running.stream())
                .filter(RequestModel::isCrashing)
                .count();
    }

    /** A simulated router with its suspects and its requests in flight. */
    private final class RouterModel {
        private final int place;
        private final Set<RequestModel> inFlight = new LinkedHashSet<>();
        private ProcessId process;
        private SuspectTable table;
        private int incarnation;
        private long startedMillis = -SYNC_MILLIS;

        RouterModel(int place) {
            this.place = place;
            begin();
        }

        private void begin() {
            process = new ProcessId(new HostId("router-" + place), ++incarnation);
            table = new SuspectTable(process, found -> {
                if (found.trait() instanceof SharedTrait shared) {
                    outcome.causeFound(shared);
                }
            });
        }

        /** Restarts the router without state; the others send their full state a little later. */
        private void restart() {
            List.copyOf(inFlight).forEach(RequestModel::finish);
            ProcessId previousProcess = process;
            begin();
            startedMillis = now();
            routers.forEach(router -> router.table.removeProcess(previousProcess, now()));
            at(now() + 50, () -> routers.forEach(router -> router.sendFullState(this)));
        }

        private void broadcast(Consumer<RouterModel> message) {
            for (RouterModel other : routers) {
                boolean lost =
                        scenario.isPartitioned(place, other.place, now()) || random.nextDouble() < scenario.lostShare();
                if (other != this && !lost) {
                    ProcessId recipient = other.process;
                    at(now() + 1 + upTo(GOSSIP_MILLIS), () -> {
                        if (other.process.equals(recipient)) {
                            message.accept(other);
                        }
                    });
                }
            }
        }

        private void sendFullState(RouterModel other) {
            if (other == this || scenario.isPartitioned(place, other.place, now())) {
                return;
            }
            for (SuspectedTrait one : table.list(64, now())) {
                one.crashes()
                        .forEach(crash -> other.receiveCrash(
                                one.trait(),
                                new ObservedCrash(crash.upstream(), crash.answerStarted(), now() - crash.ageMillis()),
                                null));
            }
        }

        private void receiveCrash(RequestTrait trait, ObservedCrash crash, ProcessId seenBy) {
            if (table.upstreamCrashed(trait, crash, seenBy, now()) && table.mayBeCause(trait)) {
                at(now() + SuspectTable.SETTLE_MILLIS + 5, this::recheckAll);
            }
        }

        private void recheckAll() {
            table.identifySharedCauses(now());
            List.copyOf(inFlight).forEach(RequestModel::recheck);
        }
    }

    /** A request of a caller at one router. */
    private final class RequestModel {
        private final RequestDigest digest = new RequestDigest(++requests, requests);
        private final List<PromptPart> parts;
        private final RouterModel router;
        private final long sinceMillis = now();
        private final List<RequestTrait> inTrial = new ArrayList<>();
        private int sends;
        private UpstreamModel upstream;
        private boolean answerStarted;
        private boolean finished;

        RequestModel(PromptPart subject, RouterModel router) {
            this.parts = List.of(FIRST, subject);
            this.router = router;
            router.inFlight.add(this);
        }

        private boolean isCrashing() {
            return parts.contains(CRASHING);
        }

        private Stream<RequestTrait> traits() {
            return Stream.concat(Stream.of(digest), parts.stream());
        }

        private void send() {
            SuspectDecision decision =
                    router.table.decideShared(parts, now()).stricter(router.table.decide(digest, now()));
            boolean mayWait = now() - sinceMillis < MAX_WAIT_MILLIS;
            boolean refused = decision.action() == SuspectDecision.Action.REFUSE;
            if (refused && !isCrashing()) {
                outcome.soundRequestRefused();
            }
            if (refused || !decision.sends() && !mayWait) {
                finish();
                return;
            }
            UpstreamModel chosen = decision.sends() ? choose(decision.avoided()) : null;
            if (chosen == null) {
                at(now() + Math.max(TrialSchedule.RECHECK_MILLIS, decision.holdMillis()), this::resume);
                return;
            }
            if (sends == MAX_SENDS) {
                finish();
                return;
            }
            forward(chosen, decision.action() == SuspectDecision.Action.TRY);
        }

        private void forward(UpstreamModel chosen, boolean isTrial) {
            sends++;
            upstream = chosen;
            answerStarted = false;
            if (isCrashing() && now() - router.startedMillis >= SYNC_MILLIS) {
                outcome.sent(now());
            }
            if (isTrial) {
                traits().filter(router.table::isSuspected).forEach(this::startTrial);
            }
            chosen.run(this);
        }

        private void startTrial(RequestTrait trait) {
            inTrial.add(trait);
            UpstreamId start = upstream.id;
            ProcessId process = router.process;
            long end = now() + 10_000;
            router.table.trialStarted(trait, process, start, end);
            router.broadcast(other -> other.table.trialStarted(trait, process, start, end));
        }

        private UpstreamModel choose(Set<UpstreamId> avoided) {
            List<UpstreamModel> live =
                    upstreams.stream().filter(one -> one.id != null).toList();
            List<UpstreamModel> free =
                    live.stream().filter(one -> !avoided.contains(one.id)).toList();
            List<UpstreamModel> from = free.isEmpty() ? live : free;
            return from.isEmpty() ? null : anyOf(from);
        }

        /** Handles a crash of the upstream, which the router detects a little later. */
        private void lost(UpstreamId start) {
            boolean hadStarted = answerStarted;
            releaseUpstream();
            at(now() + CRASH_DETECTION_MILLIS, () -> {
                if (!finished) {
                    traits().forEach(trait -> report(trait, new ObservedCrash(start, hadStarted, now())));
                    at(now(), this::resume);
                }
            });
        }

        private void report(RequestTrait trait, ObservedCrash crash) {
            ProcessId process = router.process;
            router.receiveCrash(trait, crash, process);
            router.broadcast(other -> other.receiveCrash(trait, crash, process));
        }

        private void resume() {
            if (!finished && upstream == null) {
                send();
            }
        }

        private void recheck() {
            if (upstream != null && !answerStarted && router.table.refusedTrait(parts, now()) != null) {
                finish();
            }
        }

        private void releaseUpstream() {
            if (upstream != null) {
                upstream.running.remove(this);
                upstream = null;
            }
            ProcessId process = router.process;
            for (RequestTrait trait : inTrial) {
                router.table.trialEnded(trait, process, now());
                router.broadcast(other -> other.table.trialEnded(trait, process, now()));
            }
            inTrial.clear();
        }

        private void served() {
            outcome.soundRequestServed(sinceMillis);
            for (PromptPart part : parts) {
                if (router.table.sharedTraitServed(part, now())) {
                    router.broadcast(other -> other.table.sharedTraitServed(part, now()));
                }
            }
            if (router.table.requestServed(digest)) {
                router.broadcast(other -> other.table.requestServed(digest));
            }
            finish();
        }

        private void finish() {
            releaseUpstream();
            finished = true;
            router.inFlight.remove(this);
        }
    }

    /** An upstream that restarts some seconds after a crash. */
    private final class UpstreamModel {
        private final Set<RequestModel> running = new LinkedHashSet<>();
        private UpstreamId id;

        UpstreamModel() {
            begin();
        }

        private void begin() {
            id = new UpstreamId("upstream-" + starts++);
        }

        private void run(RequestModel request) {
            running.add(request);
            UpstreamId start = id;
            Predicate<RequestModel> isRunning = one -> start.equals(id) && running.contains(one);
            long beginMillis = now() + upTo(150);
            at(beginMillis, () -> request.answerStarted |= isRunning.test(request));
            long endMillis = request.isCrashing() ? 40 + upTo(80) : 200 + upTo(1_800);
            at(beginMillis + endMillis, () -> {
                if (!isRunning.test(request)) {
                    return;
                }
                if (request.isCrashing()) {
                    crash();
                } else {
                    request.served();
                }
            });
        }

        private void crash() {
            if (id == null) {
                return;
            }
            UpstreamId start = id;
            id = null;
            if (running.stream().anyMatch(RequestModel::isCrashing)) {
                outcome.crashed(now(), crashingInFlight());
            }
            List<RequestModel> lost = List.copyOf(running);
            running.clear();
            lost.forEach(request -> request.lost(start));
            at(now() + 2_000 + upTo(2_000), this::begin);
        }
    }
}
