package org.apricotstack.core.suspect;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/**
 * Simulates routers in virtual time that send requests to upstreams, one of which crashes every upstream that runs it.
 *
 * <p>Routers, gossip messages and upstreams are modelled with their delays; all decisions are made by {@link
 * SuspectTable}.
 */
final class SuspectSimulation {

    /** Maximum number of sends for one request of a caller. */
    static final int MAX_SENDS = 2;

    /** Time after a start, or after the third crash, in which a router learns the full state, in milliseconds. */
    static final long SYNC_MILLIS = 3_000;

    private static final int UPSTREAMS = 14;
    private static final long SIMULATED_MILLIS = 20_000;
    private static final long CRASH_DETECTION_MILLIS = 3;
    private static final long MAX_WAIT_MILLIS = 2_000;
    private static final long FULL_STATE_INTERVAL_MILLIS = 500;
    private static final long SPLIT_FROM_MILLIS = 2_000;
    private static final long SPLIT_UNTIL_MILLIS = 7_000;
    private static final RequestDigest CAUSE = new RequestDigest(1, 1);

    private final SuspectScenario scenario;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<RouterModel> routers = new ArrayList<>();
    private final List<UpstreamModel> upstreams = new ArrayList<>();
    private final Set<RequestDigest> refused = new LinkedHashSet<>();
    private final List<Long> crashesMillis = new ArrayList<>();
    private final List<Long> sendsMillis = new ArrayList<>();
    private long starts;

    SuspectSimulation(SuspectScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int i = 0; i < scenario.routers(); i++) {
            routers.add(new RouterModel(i));
        }
        for (int i = 0; i < UPSTREAMS; i++) {
            upstreams.add(new UpstreamModel());
        }
    }

    private long now() {
        return time.nowMillis();
    }

    private void at(long millis, Runnable action) {
        time.at(millis, action);
    }

    private long upTo(long millis) {
        return (long) (random.nextDouble() * millis);
    }

    /** Runs the simulation until no events are left. */
    SuspectSimulation run() {
        for (long atMillis = 1_000; atMillis < SIMULATED_MILLIS; atMillis += scenario.repeatIntervalMillis()) {
            at(atMillis, this::repeatRequest);
        }
        for (int i = 0; i < SIMULATED_MILLIS / 25; i++) {
            RequestDigest other = new RequestDigest(1_000 + i, i);
            at(upTo(SIMULATED_MILLIS), () -> requestArrives(other, anyRouter()));
        }
        if (scenario.lostShare() > 0 || scenario.faults() == SuspectScenario.RouterFaults.SPLIT) {
            for (long atMillis = FULL_STATE_INTERVAL_MILLIS;
                    atMillis < SIMULATED_MILLIS;
                    atMillis += FULL_STATE_INTERVAL_MILLIS) {
                at(atMillis, () -> routers.forEach(RouterModel::sendFullStateToAll));
            }
        }
        if (scenario.faults() == SuspectScenario.RouterFaults.RESTARTS) {
            for (long atMillis = 1_500; atMillis < SIMULATED_MILLIS; atMillis += 700) {
                at(atMillis, () -> anyRouter().restart());
            }
        }
        time.run();
        return this;
    }

    private RouterModel anyRouter() {
        return routers.get(random.nextInt(routers.size()));
    }

    private void repeatRequest() {
        switch (scenario.spread()) {
            case ONE -> requestArrives(CAUSE, routers.get(0));
            case ALL -> routers.forEach(router -> requestArrives(CAUSE, router));
            default -> requestArrives(CAUSE, anyRouter());
        }
    }

    private void requestArrives(RequestDigest request, RouterModel router) {
        new AttemptModel(request, router).send();
    }

    /** Returns the number of upstreams that the request crashed. */
    int crashCount() {
        return crashesMillis.size();
    }

    /** Returns the sends by routers up for {@link #SYNC_MILLIS}, later than a time after the third crash. */
    long sentAfterThirdEnd(long millis) {
        return crashesMillis.size() < 3
                ? 0
                : sendsMillis.stream()
                        .filter(sent -> sent > crashesMillis.get(2) + millis)
                        .count();
    }

    /** Returns the other requests that were refused as if they crashed upstreams. */
    Set<RequestDigest> otherRefusedRequests() {
        Set<RequestDigest> others = new LinkedHashSet<>(refused);
        others.remove(CAUSE);
        return others;
    }

    private boolean isPartitioned(RouterModel one, RouterModel other) {
        boolean apart = one.place % 2 != other.place % 2;
        return apart
                && scenario.faults() == SuspectScenario.RouterFaults.SPLIT
                && now() >= SPLIT_FROM_MILLIS
                && now() < SPLIT_UNTIL_MILLIS;
    }

    /** A simulated router with its suspects and its requests in flight. */
    private final class RouterModel {
        private final int place;
        private final Set<AttemptModel> inFlight = new LinkedHashSet<>();
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
            table = new SuspectTable(process, found -> {});
        }

        /** Restarts the router without state; the others send their full state a little later. */
        private void restart() {
            List.copyOf(inFlight).forEach(AttemptModel::finish);
            ProcessId previousProcess = process;
            begin();
            startedMillis = now();
            routers.forEach(router -> router.table.removeProcess(previousProcess, now()));
            at(now() + 50, () -> routers.forEach(router -> router.sendFullState(this)));
        }

        private void broadcast(Consumer<RouterModel> message) {
            for (RouterModel other : routers) {
                boolean lost = isPartitioned(this, other) || random.nextDouble() < scenario.lostShare();
                if (other != this && !lost) {
                    ProcessId recipient = other.process;
                    at(now() + 1 + upTo(scenario.gossipMillis()), () -> {
                        if (other.process.equals(recipient)) {
                            message.accept(other);
                        }
                    });
                }
            }
        }

        private void sendFullState(RouterModel other) {
            if (other == this || isPartitioned(this, other)) {
                return;
            }
            for (SuspectedTrait one : table.list(64, now())) {
                one.crashes()
                        .forEach(crash -> other.receiveCrash(
                                (RequestDigest) one.trait(), crash.upstream(), crash.answerStarted(), null));
            }
        }

        private void sendFullStateToAll() {
            routers.forEach(this::sendFullState);
        }

        private void receiveCrash(RequestDigest request, UpstreamId upstream, boolean answerStarted, ProcessId seenBy) {
            if (table.upstreamCrashed(request, new ObservedCrash(upstream, answerStarted, now()), seenBy, now())) {
                crashLearned(request);
            }
        }

        private void crashLearned(RequestDigest request) {
            recheck(request);
            if (table.mayBeCause(request)) {
                at(now() + SuspectTable.SETTLE_MILLIS + 5, () -> recheck(request));
            }
        }

        private void recheck(RequestDigest request) {
            for (AttemptModel run : List.copyOf(inFlight)) {
                if (run.request.equals(request)) {
                    run.requestSuspected();
                }
            }
        }
    }

    /** A request of a caller at one router. */
    private final class AttemptModel {
        private final RequestDigest request;
        private final RouterModel router;
        private final long sinceMillis = now();
        private int sends;
        private UpstreamModel upstream;
        private boolean answerStarted;
        private boolean isTrial;
        private boolean finished;

        AttemptModel(RequestDigest request, RouterModel router) {
            this.request = request;
            this.router = router;
            router.inFlight.add(this);
        }

        private void send() {
            SuspectDecision decision = router.table.decide(request, now());
            if (decision.action() == SuspectDecision.Action.REFUSE) {
                refused.add(request);
                finish();
                return;
            }
            if (!decision.sends() && now() - sinceMillis < MAX_WAIT_MILLIS) {
                at(now() + decision.holdMillis(), this::resume);
                return;
            }
            UpstreamModel chosen = decision.sends() && sends < MAX_SENDS ? choose(decision.avoided()) : null;
            if (chosen == null) {
                finish();
                return;
            }
            forward(chosen, decision.action() == SuspectDecision.Action.TRY);
        }

        private void forward(UpstreamModel chosen, boolean alone) {
            sends++;
            upstream = chosen;
            answerStarted = false;
            isTrial = false;
            if (request.equals(CAUSE) && now() - router.startedMillis >= SYNC_MILLIS) {
                sendsMillis.add(now());
            }
            if (alone) {
                startTrial();
            }
            chosen.run(this);
        }

        private void startTrial() {
            isTrial = true;
            UpstreamId start = upstream.id;
            ProcessId process = router.process;
            long end = now() + 10_000;
            router.table.trialStarted(request, process, start, end);
            router.broadcast(other -> other.table.trialStarted(request, process, start, end));
        }

        private UpstreamModel choose(Set<UpstreamId> avoided) {
            List<UpstreamModel> live =
                    upstreams.stream().filter(one -> one.id != null).toList();
            List<UpstreamModel> free =
                    live.stream().filter(one -> !avoided.contains(one.id)).toList();
            List<UpstreamModel> from = free.isEmpty() ? live : free;
            return from.isEmpty() ? null : from.get(random.nextInt(from.size()));
        }

        /** Handles a crash of the upstream, which the router detects a little later. */
        private void lost(UpstreamId start) {
            boolean hadStarted = answerStarted;
            releaseUpstream();
            at(now() + CRASH_DETECTION_MILLIS, () -> {
                if (finished) {
                    return;
                }
                ProcessId process = router.process;
                router.table.upstreamCrashed(request, new ObservedCrash(start, hadStarted, now()), process, now());
                router.broadcast(other -> other.receiveCrash(request, start, hadStarted, process));
                router.crashLearned(request);
                at(now(), this::resume);
            });
        }

        private void resume() {
            if (!finished && upstream == null) {
                send();
            }
        }

        private void requestSuspected() {
            if (upstream == null || answerStarted) {
                return;
            }
            if (router.table.isRefused(request, now())) {
                refused.add(request);
                finish();
            } else if (!isTrial && router.table.isSuspected(request)) {
                if (sends < MAX_SENDS) {
                    releaseUpstream();
                    send();
                } else {
                    startTrial();
                }
            }
        }

        private void releaseUpstream() {
            if (upstream != null) {
                upstream.running.remove(this);
                upstream = null;
            }
            if (isTrial) {
                isTrial = false;
                ProcessId process = router.process;
                router.table.trialEnded(request, process, now());
                router.broadcast(other -> other.table.trialEnded(request, process, now()));
            }
        }

        private void served() {
            if (router.table.requestServed(request)) {
                router.broadcast(other -> other.table.requestServed(request));
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
        private final Set<AttemptModel> running = new LinkedHashSet<>();
        private UpstreamId id;

        UpstreamModel() {
            begin();
        }

        private void begin() {
            id = new UpstreamId("upstream-" + starts++);
        }

        private void run(AttemptModel run) {
            running.add(run);
            UpstreamId start = id;
            long beginMillis = now() + upTo(150);
            if (run.request.equals(CAUSE)) {
                at(beginMillis + 30 + upTo(70), () -> {
                    if (start.equals(id) && running.contains(run)) {
                        crash();
                    }
                });
                return;
            }
            at(beginMillis + 50, () -> run.answerStarted |= running.contains(run) && start.equals(id));
            at(beginMillis + 200 + upTo(1_800), () -> {
                if (start.equals(id) && running.contains(run)) {
                    run.served();
                }
            });
        }

        private void crash() {
            UpstreamId start = id;
            id = null;
            crashesMillis.add(now());
            List<AttemptModel> lost = List.copyOf(running);
            running.clear();
            lost.forEach(run -> run.lost(start));
            at(now() + 2_000 + upTo(2_000), this::begin);
        }
    }
}
