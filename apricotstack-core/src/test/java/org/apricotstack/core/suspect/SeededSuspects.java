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
 * Routers in virtual time that send requests to upstreams, of which one request ends each that begins to run it.
 *
 * <p>Routers, news and upstreams are modelled with their delays; what is decided is decided by {@link SuspectTable}.
 */
final class SeededSuspects {

    /** Sends that one attempt of a caller may have. */
    static final int SENDS = 2;

    /** Time after a start, or after the third end, from which a router is expected to know what the others know. */
    static final long IN_TOUCH_MILLIS = 3_000;

    private static final int UPSTREAMS = 14;
    private static final long DAY_MILLIS = 20_000;
    private static final long CHECK_MILLIS = 3;
    private static final long PATIENCE_MILLIS = 2_000;
    private static final long CATCH_UP_MILLIS = 500;
    private static final long SPLIT_FROM_MILLIS = 2_000;
    private static final long SPLIT_UNTIL_MILLIS = 7_000;
    private static final RequestDigest CAUSE = new RequestDigest(1, 1);

    private final SuspectScenario scenario;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<RouterModel> routers = new ArrayList<>();
    private final List<UpstreamModel> upstreams = new ArrayList<>();
    private final Set<RequestDigest> refused = new LinkedHashSet<>();
    private final List<Long> endsMillis = new ArrayList<>();
    private final List<Long> sendsMillis = new ArrayList<>();
    private long starts;

    SeededSuspects(SuspectScenario scenario, long seed) {
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

    /** Plays until nothing is left to happen. */
    SeededSuspects play() {
        for (long atMillis = 1_000; atMillis < DAY_MILLIS; atMillis += scenario.gapMillis()) {
            at(atMillis, this::repeat);
        }
        for (int i = 0; i < DAY_MILLIS / 25; i++) {
            RequestDigest other = new RequestDigest(1_000 + i, i);
            at(upTo(DAY_MILLIS), () -> arrive(other, anyRouter()));
        }
        if (scenario.lostShare() > 0 || scenario.faults() == SuspectScenario.RouterFaults.SPLIT) {
            for (long atMillis = CATCH_UP_MILLIS; atMillis < DAY_MILLIS; atMillis += CATCH_UP_MILLIS) {
                at(atMillis, () -> routers.forEach(RouterModel::catchUp));
            }
        }
        if (scenario.faults() == SuspectScenario.RouterFaults.RESTARTS) {
            for (long atMillis = 1_500; atMillis < DAY_MILLIS; atMillis += 700) {
                at(atMillis, () -> anyRouter().restart());
            }
        }
        time.run();
        return this;
    }

    private RouterModel anyRouter() {
        return routers.get(random.nextInt(routers.size()));
    }

    private void repeat() {
        switch (scenario.spread()) {
            case ONE -> arrive(CAUSE, routers.get(0));
            case ALL -> routers.forEach(router -> arrive(CAUSE, router));
            default -> arrive(CAUSE, anyRouter());
        }
    }

    private void arrive(RequestDigest request, RouterModel router) {
        new RunModel(request, router).send();
    }

    /** Returns how many upstreams the request ended. */
    int ended() {
        return endsMillis.size();
    }

    /** Returns how often routers that are in touch sent the request later than a time after the third end. */
    long sentAfterThirdEnd(long millis) {
        return endsMillis.size() < 3
                ? 0
                : sendsMillis.stream()
                        .filter(sent -> sent > endsMillis.get(2) + millis)
                        .count();
    }

    /** Returns the other requests that were refused as if they ended upstreams. */
    Set<RequestDigest> refusedOthers() {
        Set<RequestDigest> others = new LinkedHashSet<>(refused);
        others.remove(CAUSE);
        return others;
    }

    private boolean isSplit(RouterModel one, RouterModel other) {
        boolean apart = one.place % 2 != other.place % 2;
        return apart
                && scenario.faults() == SuspectScenario.RouterFaults.SPLIT
                && now() >= SPLIT_FROM_MILLIS
                && now() < SPLIT_UNTIL_MILLIS;
    }

    /** A router with what it knows and what it has in flight. */
    private final class RouterModel {
        private final int place;
        private final Set<RunModel> open = new LinkedHashSet<>();
        private ProcessId process;
        private SuspectTable table;
        private int incarnation;
        private long startedMillis = -IN_TOUCH_MILLIS;

        RouterModel(int place) {
            this.place = place;
            begin();
        }

        private void begin() {
            process = new ProcessId(new HostId("router-" + place), ++incarnation);
            table = new SuspectTable(process, found -> {});
        }

        /** Loses all that it knows and serves, and learns from the others what they know a little later. */
        private void restart() {
            List.copyOf(open).forEach(RunModel::leave);
            ProcessId gone = process;
            begin();
            startedMillis = now();
            routers.forEach(router -> router.table.removeProcess(gone, now()));
            at(now() + 50, () -> routers.forEach(router -> router.tellAll(this)));
        }

        private void tell(Consumer<RouterModel> news) {
            for (RouterModel other : routers) {
                boolean lost = isSplit(this, other) || random.nextDouble() < scenario.lostShare();
                if (other != this && !lost) {
                    ProcessId meant = other.process;
                    at(now() + 1 + upTo(scenario.newsMillis()), () -> {
                        if (other.process.equals(meant)) {
                            news.accept(other);
                        }
                    });
                }
            }
        }

        private void tellAll(RouterModel other) {
            if (other == this || isSplit(this, other)) {
                return;
            }
            for (SuspectedRequest suspicion : table.list(64, now())) {
                suspicion
                        .crashes()
                        .forEach(told -> other.hear(suspicion.request(), told.upstream(), told.answerStarted(), null));
            }
        }

        private void catchUp() {
            routers.forEach(this::tellAll);
        }

        private void hear(RequestDigest request, UpstreamId upstream, boolean begun, ProcessId seenBy) {
            if (table.upstreamCrashed(request, new ObservedCrash(upstream, begun, now()), seenBy, now())) {
                moreKnown(request);
            }
        }

        private void moreKnown(RequestDigest request) {
            lookAgain(request);
            if (table.mayBeCause(request)) {
                at(now() + SuspectTable.SETTLE_MILLIS + 5, () -> lookAgain(request));
            }
        }

        private void lookAgain(RequestDigest request) {
            for (RunModel run : List.copyOf(open)) {
                if (run.request.equals(request)) {
                    run.suspected();
                }
            }
        }
    }

    /** One attempt of a caller at one router. */
    private final class RunModel {
        private final RequestDigest request;
        private final RouterModel router;
        private final long sinceMillis = now();
        private int sends;
        private UpstreamModel upstream;
        private boolean begun;
        private boolean tries;
        private boolean over;

        RunModel(RequestDigest request, RouterModel router) {
            this.request = request;
            this.router = router;
            router.open.add(this);
        }

        private void send() {
            SuspectDecision decision = router.table.decide(request, now());
            if (decision.action() == SuspectDecision.Action.REFUSE) {
                refused.add(request);
                leave();
                return;
            }
            if (!decision.sends() && now() - sinceMillis < PATIENCE_MILLIS) {
                at(now() + decision.holdMillis(), this::goOn);
                return;
            }
            UpstreamModel chosen = decision.sends() && sends < SENDS ? choose(decision.avoided()) : null;
            if (chosen == null) {
                leave();
                return;
            }
            forward(chosen, decision.action() == SuspectDecision.Action.TRY);
        }

        private void forward(UpstreamModel chosen, boolean alone) {
            sends++;
            upstream = chosen;
            begun = false;
            tries = false;
            if (request.equals(CAUSE) && now() - router.startedMillis >= IN_TOUCH_MILLIS) {
                sendsMillis.add(now());
            }
            if (alone) {
                tryAlone();
            }
            chosen.run(this);
        }

        private void tryAlone() {
            tries = true;
            UpstreamId start = upstream.id;
            ProcessId process = router.process;
            long end = now() + 10_000;
            router.table.trialStarted(request, process, start, end);
            router.tell(other -> other.table.trialStarted(request, process, start, end));
        }

        private UpstreamModel choose(Set<UpstreamId> avoided) {
            List<UpstreamModel> live =
                    upstreams.stream().filter(one -> one.id != null).toList();
            List<UpstreamModel> free =
                    live.stream().filter(one -> !avoided.contains(one.id)).toList();
            List<UpstreamModel> from = free.isEmpty() ? live : free;
            return from.isEmpty() ? null : from.get(random.nextInt(from.size()));
        }

        /** Takes in that the upstream ended; the router finds that out a little later. */
        private void lost(UpstreamId start) {
            boolean some = begun;
            letGo();
            at(now() + CHECK_MILLIS, () -> {
                if (over) {
                    return;
                }
                ProcessId process = router.process;
                router.table.upstreamCrashed(request, new ObservedCrash(start, some, now()), process, now());
                router.tell(other -> other.hear(request, start, some, process));
                router.moreKnown(request);
                at(now(), this::goOn);
            });
        }

        private void goOn() {
            if (!over && upstream == null) {
                send();
            }
        }

        private void suspected() {
            if (upstream == null || begun) {
                return;
            }
            if (router.table.isRefused(request, now())) {
                refused.add(request);
                leave();
            } else if (!tries && router.table.isSuspected(request)) {
                if (sends < SENDS) {
                    letGo();
                    send();
                } else {
                    tryAlone();
                }
            }
        }

        private void letGo() {
            if (upstream != null) {
                upstream.running.remove(this);
                upstream = null;
            }
            if (tries) {
                tries = false;
                ProcessId process = router.process;
                router.table.trialEnded(request, process, now());
                router.tell(other -> other.table.trialEnded(request, process, now()));
            }
        }

        private void served() {
            if (router.table.requestServed(request)) {
                router.tell(other -> other.table.requestServed(request));
            }
            leave();
        }

        private void leave() {
            letGo();
            over = true;
            router.open.remove(this);
        }
    }

    /** An upstream that starts again some seconds after it ended. */
    private final class UpstreamModel {
        private final Set<RunModel> running = new LinkedHashSet<>();
        private UpstreamId id;

        UpstreamModel() {
            begin();
        }

        private void begin() {
            id = new UpstreamId("upstream-" + starts++);
        }

        private void run(RunModel run) {
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
            at(beginMillis + 50, () -> run.begun |= running.contains(run) && start.equals(id));
            at(beginMillis + 200 + upTo(1_800), () -> {
                if (start.equals(id) && running.contains(run)) {
                    run.served();
                }
            });
        }

        private void crash() {
            UpstreamId start = id;
            id = null;
            endsMillis.add(now());
            List<RunModel> lost = List.copyOf(running);
            running.clear();
            lost.forEach(run -> run.lost(start));
            at(now() + 2_000 + upTo(2_000), this::begin);
        }
    }
}
