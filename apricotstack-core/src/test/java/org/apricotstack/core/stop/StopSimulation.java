package org.apricotstack.core.stop;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.suspect.VirtualTime;
import org.apricotstack.core.time.StallDetector;

/**
 * Simulates routers in virtual time that are stopped and started again, and callers that ask them for addresses, cache
 * the answers and send requests over kept and new connections.
 */
final class StopSimulation {

    static final long SIMULATED_MILLIS = 40_000;

    static final int DATA_CENTRES = 3;
    private static final int MAX_ADDRESSES = 64;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long FIRST_HEARTBEAT_MILLIS = 100;
    private static final long FIRST_HEARTBEATS_MILLIS = 3_000;
    private static final long CHECK_MILLIS = 100;
    private static final long RESTART_MILLIS = 900;

    /** Time until a request is repeated if its caller is not told one, in milliseconds. */
    static final long RETRY_MILLIS = 100;

    /** Retry-after of a router that is not ready, in milliseconds. */
    private static final long NOT_READY_MILLIS = 300;

    /** Longest lifetime of an answer that callers accept, in seconds. */
    private static final int MAX_LIFETIME_SECONDS = 5;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final long MEAN_ANSWER_MILLIS = 1_700;
    private static final long LONGEST_ANSWER_MILLIS = 5_200;
    private static final long PLAIN_ANSWER_MILLIS = 20;
    private static final long PLAIN_DEADLINE_MILLIS = 600;
    private static final long STREAM_DEADLINE_MILLIS = 10_000;

    /** Time left above which a router rejects no plain request. */
    private static final long ENOUGH_MILLIS = 1_000;

    private final StopScenario scenario;
    final StopScenario.Conditions conditions;
    final Random random;

    /** Draws what only some conditions need, so that the others stay as they are. */
    private final Random conditionsRandom;

    final VirtualTime time = new VirtualTime();
    final List<RouterModel> routers = new ArrayList<>();
    final StopCounts counts = new StopCounts();
    final AddressLifetime addressLifetime;

    StopSimulation(StopScenario scenario, long seed) {
        this.scenario = scenario;
        this.conditions = scenario.conditions();
        this.random = new Random(seed);
        this.conditionsRandom = new Random(~seed);
        this.addressLifetime = AddressLifetime.of(scenario.timeoutMillis(), MAX_LIFETIME_SECONDS);
        for (int i = 0; i < scenario.routers(); i++) {
            routers.add(new RouterModel(i));
        }
    }

    /** Runs the simulation and returns what callers got. */
    StopCounts run() {
        routers.forEach(RouterModel::start);
        scenario.series().forEach(this::schedule);
        int callers = Math.max(9, (int) (2 * scenario.requestsPerSecond()));
        for (int i = 0; i < callers; i++) {
            new StopCaller(this, i, scenario.requestsPerSecond() / callers, false).scheduleNext();
        }
        for (int i = 0; i < 2 * conditions.plainPerSecond(); i++) {
            new StopCaller(this, i, 1 / 2.0, true).scheduleNext();
        }
        if (conditions.stallAtMillis() > 0) {
            routers.stream()
                    .limit(conditions.stalledRouters())
                    .forEach(router -> time.at(conditions.stallAtMillis(), router::stall));
        }
        time.run();
        return counts;
    }

    private void schedule(StopScenario.Series series) {
        List<RouterModel> order = new ArrayList<>(routers);
        Collections.shuffle(order, random);
        if (conditions.byDataCentre()) {
            order.sort(Comparator.comparing(router -> router.dataCentre.value()));
        }
        int stopped = order.size() - series.spared();
        for (int i = 0; i < stopped; i++) {
            RouterModel router = order.get(i);
            time.at(series.atMillis() + i / series.atOnce() * series.gapMillis(), router::stopSignal);
        }
    }

    long exponential(double meanMillis) {
        return (long) (-Math.log(1 - random.nextDouble()) * meanMillis);
    }

    private long longestAnswerMillis() {
        return (long) (LONGEST_ANSWER_MILLIS * scenario.slowdown());
    }

    private long answerMillis() {
        return (long) (Math.min(LONGEST_ANSWER_MILLIS, 50 + exponential(MEAN_ANSWER_MILLIS))
                * scenario.slowdown()
                * unknownSlowdown());
    }

    private double unknownSlowdown() {
        double most = conditions.unknownSlowdown();
        return most == 1 ? 1 : 1 + conditionsRandom.nextDouble() * (most - 1);
    }

    /** Returns whether two routers receive no heartbeats of each other now. */
    private boolean cutOff(RouterModel one, RouterModel other) {
        long sinceMillis = time.nowMillis() - conditions.cutOffAtMillis();
        return conditions.cutOffAtMillis() > 0
                && sinceMillis >= 0
                && sinceMillis < conditions.cutOffMillis()
                && (one.number - other.number) % 2 != 0;
    }

    /** A simulated router. */
    final class RouterModel {
        private final int number;
        final DataCentreId dataCentre;
        private PeerTable peers;
        StopTimeline timeline;
        private StopPolicy policy;
        private StallDetector stalls;
        boolean up;
        int incarnation;
        private int open;
        private long startedMillis;
        private long stalledUntilMillis;
        private int stalledIncarnation;

        RouterModel(int number) {
            this.number = number;
            this.dataCentre = new DataCentreId("dc-" + number % DATA_CENTRES);
        }

        Address address() {
            return new Address("10.0.0." + (number + 1), 1);
        }

        private void start() {
            incarnation++;
            up = true;
            open = 0;
            peers = new PeerTable();
            policy = new StopPolicy(scenario.timeoutMillis(), addressLifetime);
            timeline = policy.timeline();
            startedMillis = time.nowMillis();
            stalls = new StallDetector(startedMillis);
            reportRunning(incarnation);
            stalledIncarnation = stalled() ? incarnation : stalledIncarnation;
            heartbeats(incarnation);
        }

        private void reportRunning(int mine) {
            if (stalled()) {
                time.at(stalledUntilMillis, () -> reportRunning(mine));
            } else if (up && mine == incarnation && time.nowMillis() <= SIMULATED_MILLIS) {
                stalls.running(time.nowMillis());
                time.at(time.nowMillis() + StallDetector.INTERVAL_MILLIS, () -> reportRunning(mine));
            }
        }

        /** Sends and handles nothing for a while. */
        private void stall() {
            stalledUntilMillis = time.nowMillis() + conditions.stallMillis();
            stalledIncarnation = up ? incarnation : stalledIncarnation;
        }

        boolean stalled() {
            return time.nowMillis() < stalledUntilMillis;
        }

        private boolean ready() {
            return !timeline.stopping() && time.nowMillis() - startedMillis >= conditions.notReadyMillis();
        }

        private void heartbeats(int mine) {
            if (stalled()) {
                time.at(stalledUntilMillis, () -> heartbeats(mine));
                return;
            }
            if (!up || mine != incarnation || time.nowMillis() > SIMULATED_MILLIS) {
                return;
            }
            sendHeartbeat(false);
            boolean starting = time.nowMillis() - startedMillis < FIRST_HEARTBEATS_MILLIS;
            time.at(time.nowMillis() + (starting ? FIRST_HEARTBEAT_MILLIS : HEARTBEAT_MILLIS), () -> heartbeats(mine));
        }

        /** Sends the state of this router to all others; over streams it cannot be lost. */
        private void sendHeartbeat(boolean overStreams) {
            Peer own = peer();
            for (RouterModel other : routers) {
                boolean lost = !overStreams && random.nextDouble() < scenario.lostShare();
                if (other != this && !lost) {
                    int meant = other.incarnation;
                    long delayMillis = 1 + random.nextInt(3);
                    if (!cutOff(this, other)) {
                        time.at(time.nowMillis() + delayMillis, () -> other.receive(own, meant));
                    }
                }
            }
        }

        private void receive(Peer peer, int meant) {
            if (stalled()) {
                time.at(stalledUntilMillis, () -> receive(peer, meant));
            } else if (up && incarnation == meant) {
                peers.recordHeartbeat(peer, time.nowMillis());
            }
        }

        private Peer peer() {
            ProcessId process = new ProcessId(new HostId("host-" + number), incarnation);
            return new Peer(
                    process,
                    dataCentre,
                    address(),
                    address(),
                    ready(),
                    1,
                    1,
                    100,
                    1,
                    true,
                    HEARTBEAT_MILLIS,
                    timeline.takesRequestsMillis(time.nowMillis()));
        }

        List<Address> addressesFor(DataCentreId callers) {
            return peers.callerAddresses(peer(), callers, MAX_ADDRESSES, time.nowMillis());
        }

        /** Returns the lifetime of an answer with addresses; callers cache none that names stopping routers. */
        long addressLifetimeMillis() {
            boolean anyReady = ready() || peers.others(time.nowMillis()).ready();
            return anyReady ? MILLIS_PER_SECOND * addressLifetime.seconds() : 0;
        }

        private void stopSignal() {
            if (!up || timeline.stopping()) {
                return;
            }
            int mine = incarnation;
            time.at(time.nowMillis() + scenario.timeoutMillis(), () -> kill(mine));
            handleSignal(mine);
        }

        private void handleSignal(int mine) {
            if (stalled()) {
                time.at(stalledUntilMillis, () -> handleSignal(mine));
                return;
            }
            if (!up || mine != incarnation || timeline.stopping()) {
                return;
            }
            counts.stops++;
            timeline.begin(stalls.earliestMillis(time.nowMillis()), time.nowMillis());
            sendHeartbeat(true);
            checkStop(incarnation);
        }

        private void kill(int mine) {
            if (up && mine == incarnation) {
                counts.killed++;
                counts.killedStalled += time.nowMillis() <= stalledUntilMillis ? 1 : 0;
                up = false;
                time.at(time.nowMillis() + RESTART_MILLIS, this::start);
            }
        }

        private void checkStop(int mine) {
            if (stalled()) {
                time.at(stalledUntilMillis, () -> checkStop(mine));
                return;
            }
            if (!up || mine != incarnation) {
                return;
            }
            if (policy.ends(open, peers.isLastOfDataCentre(peer(), time.nowMillis()), time.nowMillis())) {
                counts.stopMillis.add(timeline.elapsedMillis(time.nowMillis()));
                timeline.end();
                sendHeartbeat(true);
                up = false;
                time.at(time.nowMillis() + RESTART_MILLIS, this::start);
                return;
            }
            time.at(time.nowMillis() + CHECK_MILLIS, () -> checkStop(mine));
        }

        /** Returns whether the request is taken. */
        boolean takes(RequestModel request) {
            long now = time.nowMillis();
            boolean wasStopping = timeline.stopping();
            counts.arrived(timeline, addressLifetime, now);
            if (now - startedMillis < conditions.notReadyMillis()) {
                counts.notReady++;
                request.retryAfterMillis = NOT_READY_MILLIS;
                return false;
            }
            long neededMillis = policy.neededMillis(request.duration(), peers.others(now), now);
            if (timeline.stopping() && !policy.takes(neededMillis, now)) {
                reject(request, now);
                return false;
            }
            open++;
            int mine = incarnation;
            time.at(now + request.answerMillis, () -> complete(mine, wasStopping));
            return true;
        }

        private void reject(RequestModel request, long now) {
            counts.rejected++;
            if (request.plain) {
                counts.plainRejected++;
                counts.plainRejectedWithTime += timeline.leftMillis(now) > ENOUGH_MILLIS ? 1 : 0;
            }
            request.rejected = true;
            request.retryAfterMillis = policy.retryAfterMillis(peers.others(now), request.duration(), now);
            counts.retryAfterMillis += request.retryAfterMillis;
        }

        private void complete(int mine, boolean wasStopping) {
            if (mine == incarnation && up && stalled()) {
                time.at(stalledUntilMillis, () -> complete(mine, wasStopping));
            } else if (mine == incarnation && up) {
                open--;
                counts.ended++;
            } else if (wasStopping && mine == stalledIncarnation) {
                counts.cutByStall++;
            } else if (wasStopping) {
                counts.cutAfterSignal++;
            } else {
                counts.cutBeforeSignal++;
            }
        }
    }

    /** One request of a caller. */
    final class RequestModel {
        private final long answerMillis;
        private final boolean plain;
        final Set<Address> failed = new HashSet<>();
        int attempts;
        boolean rejected;
        long retryAfterMillis = RETRY_MILLIS;

        RequestModel(boolean plain) {
            this.plain = plain;
            this.answerMillis = plain ? PLAIN_ANSWER_MILLIS : answerMillis();
        }

        private RequestDuration duration() {
            return plain
                    ? new RequestDuration(PLAIN_DEADLINE_MILLIS, PLAIN_DEADLINE_MILLIS)
                    : new RequestDuration(longestAnswerMillis(), STREAM_DEADLINE_MILLIS);
        }
    }
}
