package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedDrain;
import org.apricotstack.core.suspect.VirtualTime;
import org.apricotstack.core.upstream.DrainScenario.Faults;

/**
 * Simulates routers in virtual time with two upstreams, one of which announces a drain that the platform's list never
 * shows.
 */
final class DrainSimulation {

    static final long ANNOUNCES_FROM_MILLIS = 4_000;
    static final long SIMULATED_MILLIS = 30_000;

    private static final ServiceId SERVICE = new ServiceId("service");
    private static final UpstreamEntry LEAVING = entry("leaving");
    private static final UpstreamEntry STAYING = entry("staying");
    private static final long MAX_RESPONSE_MILLIS = 400;
    private static final long FULL_STATE_MILLIS = 500;
    private static final long SPLIT_FROM_MILLIS = 3_000;
    private static final long SPLIT_UNTIL_MILLIS = 13_000;
    private static final long DOWN_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final DrainScenario scenario;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<RouterModel> routers = new ArrayList<>();
    private long firstNoticeMillis = Long.MAX_VALUE;
    private int sentAfterOwnNotice;
    private int sentAfterFirstNotice;
    private long lastSendDelayMillis;
    private long messages;

    DrainSimulation(DrainScenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new Random(seed);
        for (int i = 0; i < scenario.routers(); i++) {
            routers.add(new RouterModel(i));
        }
    }

    private static UpstreamEntry entry(String name) {
        return new UpstreamEntry(
                new UpstreamId(name, 1), SERVICE, new Address("10.0.0.1", 1), new DataCentreId("east"), 8, false, 1);
    }

    /** Runs the simulation. */
    DrainSimulation run() {
        double gapMillis = MILLIS_PER_SECOND / scenario.requestsPerSecond();
        for (double at = 1_000; at < SIMULATED_MILLIS; at += -Math.log(1 - random.nextDouble()) * gapMillis) {
            time.at((long) at, () -> routers.get(random.nextInt(routers.size())).requestArrives());
        }
        if (scenario.faults() == Faults.RESTARTS) {
            for (long at = ANNOUNCES_FROM_MILLIS + 500; at < SIMULATED_MILLIS; at += 3 * DOWN_MILLIS) {
                time.at(at, () -> routers.get(random.nextInt(routers.size())).restart());
            }
        }
        if (scenario.faults() == Faults.SPLIT) {
            time.at(SPLIT_UNTIL_MILLIS, () -> routers.forEach(RouterModel::sendFullState));
        }
        for (long at = 0; at < SIMULATED_MILLIS; at += 250) {
            time.at(
                    at,
                    () -> routers.forEach(router -> router.upstreams
                            .drains()
                            .expire(upstream -> DrainTable.Listing.DRAINING_OR_UNKNOWN, time.nowMillis())));
        }
        time.run();
        return this;
    }

    /** Returns the requests sent to the draining upstream by routers that had received its announcement themselves. */
    int sentAfterOwnNotice() {
        return sentAfterOwnNotice;
    }

    /** Returns the requests sent to it after any router had received its announcement. */
    int sentAfterFirstNotice() {
        return sentAfterFirstNotice;
    }

    /** Returns the time from the first received announcement to the last of these requests, in milliseconds. */
    long lastSendDelayMillis() {
        return lastSendDelayMillis;
    }

    /** Returns the number of gossip messages about the drain. */
    long messages() {
        return messages;
    }

    private long upTo(long millis) {
        return (long) (random.nextDouble() * millis);
    }

    private boolean isPartitioned(RouterModel one, RouterModel other) {
        return scenario.faults() == Faults.SPLIT
                && one.place % 2 != other.place % 2
                && time.nowMillis() >= SPLIT_FROM_MILLIS
                && time.nowMillis() < SPLIT_UNTIL_MILLIS;
    }

    /** A simulated router. */
    private final class RouterModel {
        private final int place;
        private UpstreamTable upstreams;
        private boolean hasSeenNotice;
        private boolean down;
        private int incarnation;

        RouterModel(int place) {
            this.place = place;
            begin();
        }

        private void begin() {
            incarnation++;
            hasSeenNotice = false;
            upstreams = new UpstreamTable();
            upstreams.put(LEAVING);
            upstreams.put(STAYING);
        }

        /** Restarts the router without state; the other routers send their full state before it accepts requests. */
        private void restart() {
            down = true;
            begin();
            time.at(time.nowMillis() + DOWN_MILLIS, () -> {
                down = false;
                routers.forEach(other -> other.sendFullState(this));
            });
        }

        private void sendFullState() {
            routers.forEach(this::sendFullState);
        }

        private void sendFullState(RouterModel other) {
            AnnouncedDrain drain = upstreams.drains().find(LEAVING.id());
            if (drain != null) {
                deliver(other, drain);
            }
        }

        private void requestArrives() {
            if (down) {
                return;
            }
            List<UpstreamEntry> usable = upstreams.usable(SERVICE);
            UpstreamEntry chosen = usable.get(random.nextInt(usable.size()));
            if (!chosen.equals(LEAVING)) {
                return;
            }
            long sentMillis = time.nowMillis();
            sentAfterOwnNotice += hasSeenNotice ? 1 : 0;
            if (sentMillis > firstNoticeMillis) {
                sentAfterFirstNotice++;
                lastSendDelayMillis = Math.max(lastSendDelayMillis, sentMillis - firstNoticeMillis);
            }
            int mine = incarnation;
            long answerMillis = sentMillis + 1 + upTo(MAX_RESPONSE_MILLIS);
            time.at(answerMillis, () -> answered(mine, sentMillis));
        }

        private void answered(int mine, long sentMillis) {
            if (mine != incarnation || down) {
                return;
            }
            boolean announces = time.nowMillis() >= ANNOUNCES_FROM_MILLIS;
            AdvertisedDrain advertised = announces ? AdvertisedDrain.DRAINING : AdvertisedDrain.SERVING;
            DrainChange change =
                    upstreams.drains().answerReceived(LEAVING.id(), advertised, sentMillis, time.nowMillis());
            if (announces) {
                hasSeenNotice = true;
                firstNoticeMillis = Math.min(firstNoticeMillis, time.nowMillis());
            }
            if (change == DrainChange.BEGAN) {
                AnnouncedDrain drain = upstreams.drains().find(LEAVING.id());
                routers.forEach(other -> deliver(other, drain));
            }
        }

        /**
         * Sends a gossip message to another router; a lost message is replaced by the full state, which arrives later.
         */
        private void deliver(RouterModel other, AnnouncedDrain drain) {
            if (other == this || down || isPartitioned(this, other)) {
                return;
            }
            messages++;
            boolean lost = random.nextDouble() < scenario.lostShare();
            int meant = other.incarnation;
            time.at(time.nowMillis() + 1 + upTo(4) + (lost ? FULL_STATE_MILLIS : 0), () -> {
                if (!other.down && other.incarnation == meant) {
                    other.upstreams.drains().reportedByPeer(LEAVING.id(), drain.announcedMillis(), time.nowMillis());
                }
            });
        }
    }
}
