package org.apricotstack.core.ratelimit;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.OneWayPeers;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.ratelimit.ColdScenario.Fault;
import org.apricotstack.core.suspect.VirtualTime;

/**
 * Simulates routers in virtual time whose requests can all be sent to one upstream that is cold for some time.
 *
 * <p>Routers, messages and the upstream are modelled with their delays; all decisions are made by the classes of this
 * package.
 */
final class ColdSimulation {

    static final double TOLERATED_PER_SECOND = 15;
    static final ColdBound BOUND = new ColdBound(1.5, 5);
    static final int MAX_IN_A_SECOND = 27;
    static final long COLD_FROM_MILLIS = 10_000;
    static final long COLD_UNTIL_MILLIS = 22_000;
    static final long SIMULATED_MILLIS = 26_000;

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 1);
    private static final long PERMIT_TIMEOUT_MILLIS = 120;
    private static final long FAULT_MILLIS = COLD_FROM_MILLIS + 4_000;
    private static final long LATE_MILLIS = 500;
    private static final long DOWN_MILLIS = 1_000;
    private static final long START_MILLIS = 3_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final ColdScenario scenario;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<RouterModel> routers = new ArrayList<>();
    private final List<Long> arrivalsMillis = new ArrayList<>();
    private final HostId firstIssuer;
    private final List<Long> permittedMillis = new ArrayList<>();

    ColdSimulation(ColdScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int i = 0; i < scenario.routers(); i++) {
            routers.add(new RouterModel(i));
        }
        firstIssuer = PermitIssuerSelection.of(
                        UPSTREAM, routers.stream().map(router -> router.host).toList(), 0)
                .host();
    }

    /** Runs the simulation. */
    ColdSimulation run() {
        for (RouterModel router : routers) {
            time.at(upTo(heartbeatMillis()), router::sendHeartbeats);
        }
        double gapMillis = MILLIS_PER_SECOND / scenario.demandPerSecond();
        for (double at = 2_000; at < SIMULATED_MILLIS; at += -Math.log(1 - random.nextDouble()) * gapMillis) {
            time.at((long) at, () -> routers.get(scenario.atOneRouter() ? 0 : random.nextInt(routers.size()))
                    .requestArrives());
        }
        time.at(COLD_FROM_MILLIS + lateMillis(), this::becomeCold);
        if (scenario.fault() == Fault.ISSUER_KILLED) {
            time.at(FAULT_MILLIS, () -> {
                HostId issuer = routers.get(0).permitIssuerOf(UPSTREAM).host();
                routers.stream()
                        .filter(router -> router.host.equals(issuer))
                        .forEach(router -> router.stopFor(DOWN_MILLIS));
            });
        }
        if (scenario.fault() == Fault.STARTED_AGAIN_AFTER_A_RESPONSE) {
            time.at(FAULT_MILLIS, () -> routers.stream()
                    .filter(router -> router.place % 2 == 1)
                    .forEach(router -> router.stopFor(DOWN_MILLIS)));
        }
        time.run();
        return this;
    }

    private void becomeCold() {
        if (scenario.fault() == Fault.ALL_STARTED || scenario.fault() == Fault.ALL_STARTED_IN_A_SPLIT) {
            routers.forEach(router -> router.stopFor(1 + upTo(100)));
        } else if (isLearntFromResponse()) {
            RouterModel first = routers.get(random.nextInt(routers.size()));
            first.cold.answerReceived(UPSTREAM, AdvertisedCold.of(remainingMillis()), now(), now());
            routers.forEach(other -> first.send(other, first::reportColdTo));
        } else {
            routers.forEach(router -> time.at(now() + upTo(60), router::readEntry));
        }
    }

    private boolean isLearntFromResponse() {
        return scenario.fault() == Fault.LEARNT_FROM_A_RESPONSE
                || scenario.fault() == Fault.LEARNT_LATE
                || scenario.fault() == Fault.STARTED_AGAIN_AFTER_A_RESPONSE;
    }

    /** Returns the time after which the first router learns that the upstream is cold. */
    private long lateMillis() {
        return scenario.fault() == Fault.LEARNT_LATE ? LATE_MILLIS : 0;
    }

    private long now() {
        return time.nowMillis();
    }

    private static long remaining(long nowMillis) {
        return Math.max(0, COLD_UNTIL_MILLIS - nowMillis);
    }

    private long remainingMillis() {
        return remaining(now());
    }

    private void arrive(boolean limited) {
        arrivalsMillis.add(now());
        if (limited) {
            permittedMillis.add(now());
        }
    }

    private long upTo(long millis) {
        return (long) (random.nextDouble() * millis);
    }

    private long heartbeatMillis() {
        return 500 + 12L * (routers.size() - 1);
    }

    /** Returns the maximum number of requests received in any second, counted from some time on. */
    int maxInASecond(long fromMillis) {
        List<Long> counted = arrivalsMillis.stream()
                .filter(at -> at >= fromMillis && at < COLD_UNTIL_MILLIS)
                .sorted()
                .toList();
        int max = 0;
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            while (counted.get(first) <= counted.get(last) - 1_000) {
                first++;
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    /** Returns the maximum number of requests in a cold second whose last request needed a permit. */
    long maxBeforePermitted() {
        return permittedMillis.stream()
                .mapToLong(at -> arrivals(Math.max(COLD_FROM_MILLIS, at - 999), at + 1))
                .max()
                .orElse(0);
    }

    /** Returns the number of requests received in a time. */
    long arrivals(long fromMillis, long untilMillis) {
        return arrivalsMillis.stream()
                .filter(at -> at >= fromMillis && at < untilMillis)
                .count();
    }

    /** Returns the used share of the rate that the upstream tolerates while it is cold. */
    double usedShare() {
        double seconds = (COLD_UNTIL_MILLIS - COLD_FROM_MILLIS) / MILLIS_PER_SECOND;
        return arrivals(COLD_FROM_MILLIS, COLD_UNTIL_MILLIS) / (TOLERATED_PER_SECOND * seconds);
    }

    private boolean isLost(RouterModel from, RouterModel to) {
        return switch (scenario.fault()) {
            case SPLIT_BEFORE, ALL_STARTED_IN_A_SPLIT -> from.place % 2 != to.place % 2
                    && now() >= COLD_FROM_MILLIS - 4_000;
            case SPLIT_MEANWHILE -> from.place % 2 != to.place % 2 && now() >= FAULT_MILLIS;
            case LOSS -> random.nextDouble() < 1.0 / 3;
            case ONE_SIDED -> from.place == 0 && now() >= COLD_FROM_MILLIS - 4_000;
            case ONE_SIDED_ISSUER -> from.host.equals(firstIssuer) && now() >= COLD_FROM_MILLIS - 4_000;
            default -> false;
        };
    }

    /** A simulated router. */
    private final class RouterModel implements PermitClient {
        private final int place;
        private final HostId host;
        private int incarnation;
        private long startedMillis;
        private boolean down;
        private PeerTable peers;
        private OneWayPeers oneWayPeers;
        private ColdTable cold;
        private LimitAdmission admission;
        private PermitIssuerService issuerService;

        RouterModel(int place) {
            this.place = place;
            this.host = new HostId("router-" + place);
            begin();
        }

        private void begin() {
            incarnation++;
            startedMillis = now();
            peers = new PeerTable();
            oneWayPeers = new OneWayPeers();
            cold = new ColdTable();
            LimitsInForce limits = new LimitsInForce(
                    new LimitTable(), cold, upstream -> BOUND.permitsPerSecond(TOLERATED_PER_SECOND), time::nowMillis);
            admission = new LimitAdmission(limits, this, time::nowMillis);
            issuerService = new PermitIssuerService(host, limits, this::permitIssuerOf, time::nowMillis);
        }

        private void stopFor(long millis) {
            down = true;
            time.at(now() + millis, () -> {
                begin();
                down = false;
                if (!isLearntFromResponse()) {
                    readEntry();
                }
                int started = incarnation;
                for (long at = 0; at < START_MILLIS; at += 100 + 12L * routers.size()) {
                    time.at(now() + at, () -> {
                        if (incarnation == started) {
                            routers.forEach(other -> send(other, router -> router.heard(peer())));
                        }
                    });
                }
                routers.forEach(other -> other.send(this, other::reportColdTo));
            });
        }

        private void readEntry() {
            if (!down) {
                cold.listed(UPSTREAM, AdvertisedCold.of(remainingMillis()), 0, now());
            }
        }

        private void reportColdTo(RouterModel other) {
            ColdState state = cold.find(UPSTREAM, now());
            if (state != null) {
                other.cold.reportedByPeer(
                        UPSTREAM, state.untilMillis() - now(), state.learntMillis(), state.source(), now());
            }
        }

        private Peer peer() {
            Address address = new Address("10.0.0.1", 1_000 + place);
            return new Peer(
                    new ProcessId(host, incarnation),
                    new DataCentreId("east"),
                    address,
                    address,
                    true,
                    1,
                    1,
                    100,
                    1,
                    true,
                    (int) heartbeatMillis());
        }

        private void heard(Peer peer) {
            peers.recordHeartbeat(peer, now());
        }

        private void sendHeartbeats() {
            if (!down) {
                Peer peer = peer();
                List<HostId> silent = peers.suspectedHosts(routers.size(), now());
                routers.forEach(other -> send(other, router -> {
                    router.heard(peer);
                    router.oneWayPeers.recordHeartbeat(host, silent.contains(router.host));
                }));
            }
            if (now() < SIMULATED_MILLIS) {
                time.at(now() + heartbeatMillis(), this::sendHeartbeats);
            }
        }

        private PermitIssuerSelection permitIssuerOf(UpstreamId upstream) {
            List<HostId> connected = new ArrayList<>(List.of(host));
            peers.alive(now()).forEach(peer -> connected.add(peer.process().host()));
            PermitIssuerSelection selected =
                    PermitIssuerSelection.of(upstream, connected, peers.silentEntryRouterCount(now()));
            if (host.equals(selected.host())) {
                selected = selected.withoutOneWayPeers(oneWayPeers.countAmong(connected), connected.size());
            }
            boolean incomplete = host.equals(selected.host())
                    && now() - startedMillis < START_MILLIS
                    && connected.size() < routers.size();
            return incomplete ? new PermitIssuerSelection(null, selected.share()) : selected;
        }

        /** Sends a message to another router, unless the message is lost or a router is down. */
        private void send(RouterModel other, Consumer<RouterModel> message) {
            if (other == this || down || isLost(this, other)) {
                return;
            }
            int recipient = other.incarnation;
            time.at(now() + 1 + upTo(3), () -> {
                if (!other.down && other.incarnation == recipient) {
                    message.accept(other);
                }
            });
        }

        private void requestArrives() {
            if (down) {
                return;
            }
            int mine = incarnation;
            boolean limited = admission.isLimited(UPSTREAM);
            admission.acquire(UPSTREAM, granted -> {
                if (granted && mine == incarnation && !down) {
                    time.at(now() + 1 + upTo(2), () -> arrive(limited));
                }
            });
        }

        @Override
        public void requestPermits(UpstreamId upstream, RateLimit limit, int wanted, Consumer<PermitGrant> then) {
            PermitIssuerSelection issuer = issuerService.permitIssuerOf(upstream);
            if (issuerService.isThisRouter(issuer)) {
                then.accept(issuerService.answer(upstream, wanted, 0));
                return;
            }
            boolean[] answered = new boolean[1];
            Consumer<PermitGrant> once = grant -> {
                if (!answered[0]) {
                    answered[0] = true;
                    then.accept(grant);
                }
            };
            routers.stream()
                    .filter(router -> router.host.equals(issuer.host()))
                    .forEach(issuerModel -> send(issuerModel, router -> {
                        reportColdTo(router);
                        PermitGrant grant = router.issuerService.answer(upstream, wanted, 0);
                        router.send(this, asker -> once.accept(grant));
                    }));
            time.at(now() + PERMIT_TIMEOUT_MILLIS, () -> once.accept(null));
        }

        @Override
        public void charge(UpstreamId upstream, RateLimit limit, int requests) {
            throw new IllegalStateException("Nothing is sent without a permit here.");
        }
    }
}
