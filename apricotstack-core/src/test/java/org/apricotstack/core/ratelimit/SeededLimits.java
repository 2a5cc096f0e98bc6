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
 * Routers in virtual time whose requests could all go to one upstream that names a limit in its answers.
 *
 * <p>Routers, messages and the upstream are modelled with their delays; what is decided is decided by the classes of
 * this package.
 */
final class SeededLimits {

    static final long NAMES_FROM_MILLIS = 4_000;
    static final long SETTLED_MILLIS = 8_000;
    static final long DAY_MILLIS = 40_000;

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 1);
    private static final long ANSWER_MILLIS = 60;
    private static final long BEAT_MILLIS = 500;
    private static final long QUESTION_MILLIS = 120;
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

    SeededLimits(LimitScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int i = 0; i < scenario.routers(); i++) {
            routers.add(new RouterModel(i));
        }
    }

    /** Plays a day. */
    SeededLimits play() {
        for (RouterModel router : routers) {
            long first = upTo(BEAT_MILLIS);
            for (long at = first; at < DAY_MILLIS; at += BEAT_MILLIS) {
                time.at(at, router::beat);
            }
        }
        double gapMillis = MILLIS_PER_SECOND / scenario.demandPerSecond();
        for (double at = 2_000; at < DAY_MILLIS; at += -Math.log(1 - random.nextDouble()) * gapMillis) {
            time.at((long) at, () -> routers.get(scenario.atOne() ? 0 : random.nextInt(routers.size()))
                    .arrive());
        }
        if (scenario.faults() == RouterFaults.RESTARTS) {
            for (long at = SETTLED_MILLIS; at < DAY_MILLIS; at += 3 * DOWN_MILLIS) {
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

    /** Returns how many requests arrived in the worst four seconds, from some time after the limit was first named. */
    int worstArrivals() {
        int worst = 0;
        int first = 0;
        for (int last = 0; last < arrivalsMillis.size(); last++) {
            while (arrivalsMillis.get(first) <= arrivalsMillis.get(last) - 4_000
                    || arrivalsMillis.get(first) < SETTLED_MILLIS) {
                if (++first > last) {
                    break;
                }
            }
            worst = Math.max(worst, last - first + 1);
        }
        return worst;
    }

    /** Returns the share of the limit that was used after the limit was known. */
    double usedShare() {
        long settled =
                arrivalsMillis.stream().filter(at -> at >= SETTLED_MILLIS).count();
        return settled / (scenario.perSecond() * (DAY_MILLIS - SETTLED_MILLIS) / MILLIS_PER_SECOND);
    }

    /** Returns the messages between routers about the limit, a second. */
    double messagesPerSecond() {
        return messages * MILLIS_PER_SECOND / (DAY_MILLIS - NAMES_FROM_MILLIS);
    }

    private boolean isCut(RouterModel one, RouterModel other) {
        return scenario.faults() == RouterFaults.SPLIT
                && one.place % 2 != other.place % 2
                && now() >= SPLIT_FROM_MILLIS
                && now() < SPLIT_UNTIL_MILLIS;
    }

    /** A router. */
    private final class RouterModel implements PermitClient {
        private final int place;
        private final HostId host;
        private int incarnation;
        private boolean down;
        private PeerTable peers;
        private LimitTable table;
        private LimitAdmission admission;
        private PermitIssuerService keeping;

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
            keeping = new PermitIssuerService(host, table, this::permitIssuerOf, time::nowMillis);
        }

        private void restart() {
            down = true;
            begin();
            time.at(now() + DOWN_MILLIS, () -> {
                down = false;
                routers.forEach(RouterModel::beat);
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
                    BEAT_MILLIS);
        }

        private void beat() {
            if (!down) {
                Peer peer = peer();
                routers.forEach(other -> send(other, router -> router.peers.recordHeartbeat(peer, now())));
            }
        }

        private PermitIssuerSelector permitIssuerOf(UpstreamId upstream) {
            List<HostId> inTouch = new ArrayList<>(List.of(host));
            peers.alive(now()).forEach(peer -> inTouch.add(peer.process().host()));
            return PermitIssuerSelector.of(upstream, inTouch, peers.silentEntryRouterCount(now()));
        }

        /** Delivers something to another router unless it is lost or the other one is down. */
        private void send(RouterModel other, Consumer<RouterModel> message) {
            boolean lost = other == this || down || isCut(this, other) || random.nextDouble() < scenario.lostShare();
            if (!lost) {
                int meant = other.incarnation;
                time.at(now() + 1 + upTo(3), () -> {
                    if (!other.down && other.incarnation == meant) {
                        message.accept(other);
                    }
                });
            }
        }

        private void arrive() {
            if (down) {
                return;
            }
            offered++;
            int mine = incarnation;
            admission.acquire(UPSTREAM, granted -> {
                if (granted && mine == incarnation && !down) {
                    long sentMillis = now();
                    time.at(now() + 1 + upTo(2), () -> arrivalsMillis.add(now()));
                    time.at(now() + ANSWER_MILLIS, () -> answered(mine, sentMillis));
                }
            });
        }

        private void answered(int mine, long sentMillis) {
            if (mine != incarnation || down) {
                return;
            }
            AdvertisedLimit stated = now() < NAMES_FROM_MILLIS
                    ? AdvertisedLimit.ABSENT
                    : new AdvertisedLimit(AdvertisedLimit.Kind.PRESENT, scenario.perSecond());
            if (table.answerReceived(UPSTREAM, stated, sentMillis, now()) == LimitChange.BEGAN) {
                RateLimit limit = table.find(UPSTREAM);
                messages += routers.size() - 1;
                routers.forEach(other -> send(other, router -> router.table.reportedByPeer(UPSTREAM, limit)));
            }
        }

        @Override
        public void ask(UpstreamId upstream, RateLimit limit, int wanted, Consumer<PermitGrant> then) {
            PermitIssuerSelector kept = keeping.permitIssuerOf(upstream);
            if (keeping.isThisRouter(kept)) {
                then.accept(keeping.answer(upstream, wanted, 0));
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
            RouterModel keeper = routers.stream()
                    .filter(router -> router.host.equals(kept.host()))
                    .findFirst()
                    .orElseThrow();
            send(keeper, router -> {
                router.table.reportedByPeer(upstream, limit);
                PermitGrant grant = router.keeping.answer(upstream, wanted, 0);
                router.send(this, asker -> once.accept(grant));
            });
            time.at(now() + QUESTION_MILLIS, () -> once.accept(null));
        }

        @Override
        public void charge(UpstreamId upstream, RateLimit limit, int requests) {
            throw new IllegalStateException("Nothing is sent without a permit here.");
        }
    }
}
