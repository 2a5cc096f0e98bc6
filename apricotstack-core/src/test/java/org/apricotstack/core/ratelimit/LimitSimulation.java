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
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.ratelimit.LimitScenario.RouterFaults;
import org.apricotstack.core.suspect.VirtualTime;

/**
 * Simulates routers in virtual time whose requests can all be sent to one upstream that advertises a limit.
 *
 * <p>Routers, messages and the upstream are modelled with their delays; all decisions are made by the classes of this
 * package.
 */
final class LimitSimulation {

    static final long ADVERTISED_FROM_MILLIS = 4_000;
    static final long SETTLED_MILLIS = 8_000;
    static final long SIMULATED_MILLIS = 40_000;

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 1);
    private static final long RESPONSE_MILLIS = 60;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long PERMIT_TIMEOUT_MILLIS = 120;
    private static final long SPLIT_FROM_MILLIS = 14_000;
    private static final long SPLIT_UNTIL_MILLIS = 24_000;
    private static final long DOWN_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final LimitScenario scenario;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<RouterModel> routers = new ArrayList<>();
    private final List<Long> arrivalsMillis = new ArrayList<>();
    private long messages;
    private long offered;

    LimitSimulation(LimitScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int i = 0; i < scenario.routers(); i++) {
            routers.add(new RouterModel(i));
        }
    }

    /** Runs the simulation. */
    LimitSimulation run() {
        for (RouterModel router : routers) {
            long first = upTo(HEARTBEAT_MILLIS);
            for (long at = first; at < SIMULATED_MILLIS; at += HEARTBEAT_MILLIS) {
                time.at(at, router::sendHeartbeat);
            }
        }
        double gapMillis = MILLIS_PER_SECOND / scenario.demandPerSecond();
        for (double at = 2_000; at < SIMULATED_MILLIS; at += -Math.log(1 - random.nextDouble()) * gapMillis) {
            time.at((long) at, () -> routers.get(scenario.atOneRouter() ? 0 : random.nextInt(routers.size()))
                    .requestArrives());
        }
        if (scenario.faults() == RouterFaults.RESTARTS) {
            for (long at = SETTLED_MILLIS; at < SIMULATED_MILLIS; at += 3 * DOWN_MILLIS) {
                time.at(at, () -> routers.get(random.nextInt(routers.size())).restart());
            }
        }
        time.run();
        return this;
    }

    private long now() {
        return time.nowMillis();
    }

    private long upTo(long millis) {
        return (long) (random.nextDouble() * millis);
    }

    /** Returns the maximum number of requests received within four seconds, from {@link #SETTLED_MILLIS} on. */
    int maxArrivals() {
        int max = 0;
        int first = 0;
        for (int last = 0; last < arrivalsMillis.size(); last++) {
            while (arrivalsMillis.get(first) <= arrivalsMillis.get(last) - 4_000
                    || arrivalsMillis.get(first) < SETTLED_MILLIS) {
                if (++first > last) {
                    break;
                }
            }
            max = Math.max(max, last - first + 1);
        }
        return max;
    }

    /** Returns the share of the limit that was used from {@link #SETTLED_MILLIS} on. */
    double usedShare() {
        long settled =
                arrivalsMillis.stream().filter(at -> at >= SETTLED_MILLIS).count();
        return settled / (scenario.perSecond() * (SIMULATED_MILLIS - SETTLED_MILLIS) / MILLIS_PER_SECOND);
    }

    /** Returns the rate of messages between routers about the limit, per second. */
    double messagesPerSecond() {
        return messages * MILLIS_PER_SECOND / (SIMULATED_MILLIS - ADVERTISED_FROM_MILLIS);
    }

    private boolean isPartitioned(RouterModel one, RouterModel other) {
        return scenario.faults() == RouterFaults.SPLIT
                && one.place % 2 != other.place % 2
                && now() >= SPLIT_FROM_MILLIS
                && now() < SPLIT_UNTIL_MILLIS;
    }

    /** A simulated router. */
    private final class RouterModel implements PermitClient {
        private final int place;
        private final HostId host;
        private int incarnation;
        private boolean down;
        private PeerTable peers;
        private LimitTable table;
        private LimitAdmission admission;
        private PermitIssuerService issuerService;

        RouterModel(int place) {
            this.place = place;
            this.host = new HostId("router-" + place);
            begin();
        }

        private void begin() {
            incarnation++;
            peers = new PeerTable();
            table = new LimitTable();
            admission = new LimitAdmission(table, this, time::nowMillis);
            issuerService = new PermitIssuerService(host, table, this::permitIssuerOf, time::nowMillis);
        }

        private void restart() {
            down = true;
            begin();
            time.at(now() + DOWN_MILLIS, () -> {
                down = false;
                routers.forEach(RouterModel::sendHeartbeat);
                routers.forEach(other -> other.send(this, router -> other.table
                        .all()
                        .forEach((upstream, limit) -> router.table.reportedByPeer(upstream, limit))));
            });
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
                    HEARTBEAT_MILLIS);
        }

        private void sendHeartbeat() {
            if (!down) {
                Peer peer = peer();
                routers.forEach(other -> send(other, router -> router.peers.recordHeartbeat(peer, now())));
            }
        }

        private PermitIssuerSelection permitIssuerOf(UpstreamId upstream) {
            List<HostId> connected = new ArrayList<>(List.of(host));
            peers.alive(now()).forEach(peer -> connected.add(peer.process().host()));
            return PermitIssuerSelection.of(upstream, connected, peers.silentEntryRouterCount(now()));
        }

        /** Sends a message to another router, unless the message is lost or the router is down. */
        private void send(RouterModel other, Consumer<RouterModel> message) {
            boolean lost =
                    other == this || down || isPartitioned(this, other) || random.nextDouble() < scenario.lostShare();
            if (!lost) {
                int recipient = other.incarnation;
                time.at(now() + 1 + upTo(3), () -> {
                    if (!other.down && other.incarnation == recipient) {
                        message.accept(other);
                    }
                });
            }
        }

        private void requestArrives() {
            if (down) {
                return;
            }
            offered++;
            int mine = incarnation;
            admission.acquire(UPSTREAM, granted -> {
                if (granted && mine == incarnation && !down) {
                    long sentMillis = now();
                    time.at(now() + 1 + upTo(2), () -> arrivalsMillis.add(now()));
                    time.at(now() + RESPONSE_MILLIS, () -> answered(mine, sentMillis));
                }
            });
        }

        private void answered(int mine, long sentMillis) {
            if (mine != incarnation || down) {
                return;
            }
            AdvertisedLimit advertised = now() < ADVERTISED_FROM_MILLIS
                    ? AdvertisedLimit.ABSENT
                    : new AdvertisedLimit(AdvertisedLimit.Kind.STATED, scenario.perSecond());
            if (table.answerReceived(UPSTREAM, advertised, sentMillis, now()) == LimitChange.BEGAN) {
                RateLimit limit = table.find(UPSTREAM);
                messages += routers.size() - 1;
                routers.forEach(other -> send(other, router -> router.table.reportedByPeer(UPSTREAM, limit)));
            }
        }

        @Override
        public void requestPermits(UpstreamId upstream, RateLimit limit, int wanted, Consumer<PermitGrant> then) {
            PermitIssuerSelection issuer = issuerService.permitIssuerOf(upstream);
            if (issuerService.isThisRouter(issuer)) {
                then.accept(issuerService.answer(upstream, wanted, 0));
                return;
            }
            messages += 2;
            boolean[] answered = new boolean[1];
            Consumer<PermitGrant> once = grant -> {
                if (!answered[0]) {
                    answered[0] = true;
                    then.accept(grant);
                }
            };
            RouterModel issuerModel = routers.stream()
                    .filter(router -> router.host.equals(issuer.host()))
                    .findFirst()
                    .orElseThrow();
            send(issuerModel, router -> {
                router.table.reportedByPeer(upstream, limit);
                PermitGrant grant = router.issuerService.answer(upstream, wanted, 0);
                router.send(this, asker -> once.accept(grant));
            });
            time.at(now() + PERMIT_TIMEOUT_MILLIS, () -> once.accept(null));
        }

        @Override
        public void charge(UpstreamId upstream, RateLimit limit, int requests) {
            throw new IllegalStateException("Nothing is sent without a permit here.");
        }
    }
}
