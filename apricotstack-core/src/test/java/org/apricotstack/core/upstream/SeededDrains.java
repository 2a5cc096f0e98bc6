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

/** Routers in virtual time before two upstreams of which one announces that it leaves; the list never says so. */
final class SeededDrains {

    static final long ANNOUNCES_FROM_MILLIS = 4_000;
    static final long DAY_MILLIS = 30_000;

    private static final ServiceId SERVICE = new ServiceId("service");
    private static final UpstreamEntry LEAVING = entry("leaving");
    private static final UpstreamEntry STAYING = entry("staying");
    private static final long MOST_ANSWER_MILLIS = 400;
    private static final long ALL_NEWS_MILLIS = 500;
    private static final long SPLIT_FROM_MILLIS = 3_000;
    private static final long SPLIT_UNTIL_MILLIS = 13_000;
    private static final long DOWN_MILLIS = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final DrainScenario scenario;
    private final Random random;
    private final VirtualTime time = new VirtualTime();
    private final List<RouterModel> routers = new ArrayList<>();
    private long firstReadMillis = Long.MAX_VALUE;
    private int sentAfterOwnRead;
    private int sentAfterAnyRead;
    private long latestMillis;
    private long messages;

    SeededDrains(DrainScenario scenario, long seed) {
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

    /** Plays a day. */
    SeededDrains play() {
        double gapMillis = MILLIS_PER_SECOND / scenario.requestsPerSecond();
        for (double at = 1_000; at < DAY_MILLIS; at += -Math.log(1 - random.nextDouble()) * gapMillis) {
            time.at((long) at, () -> routers.get(random.nextInt(routers.size())).arrive());
        }
        if (scenario.faults() == Faults.RESTARTS) {
            for (long at = ANNOUNCES_FROM_MILLIS + 500; at < DAY_MILLIS; at += 3 * DOWN_MILLIS) {
                time.at(at, () -> routers.get(random.nextInt(routers.size())).restart());
            }
        }
        if (scenario.faults() == Faults.SPLIT) {
            time.at(SPLIT_UNTIL_MILLIS, () -> routers.forEach(RouterModel::tellAll));
        }
        for (long at = 0; at < DAY_MILLIS; at += 250) {
            time.at(
                    at,
                    () -> routers.forEach(router -> router.upstreams
                            .drains()
                            .expire(upstream -> DrainTable.Listing.DRAINING_OR_UNKNOWN, time.nowMillis())));
        }
        time.run();
        return this;
    }

    /** Returns the sends to the upstream that leaves by routers that had read its announcement themselves. */
    int sentAfterOwnRead() {
        return sentAfterOwnRead;
    }

    /** Returns the sends to it after some router had read its announcement. */
    int sentAfterAnyRead() {
        return sentAfterAnyRead;
    }

    /** Returns how long after the first reading of the announcement the last of them was, in milliseconds. */
    long latestMillis() {
        return latestMillis;
    }

    /** Returns the messages between routers about the drain. */
    long messages() {
        return messages;
    }

    private long upTo(long millis) {
        return (long) (random.nextDouble() * millis);
    }

    private boolean isCut(RouterModel one, RouterModel other) {
        return scenario.faults() == Faults.SPLIT
                && one.place % 2 != other.place % 2
                && time.nowMillis() >= SPLIT_FROM_MILLIS
                && time.nowMillis() < SPLIT_UNTIL_MILLIS;
    }

    /** A router. */
    private final class RouterModel {
        private final int place;
        private UpstreamTable upstreams;
        private boolean hasRead;
        private boolean down;
        private int incarnation;

        RouterModel(int place) {
            this.place = place;
            begin();
        }

        private void begin() {
            incarnation++;
            hasRead = false;
            upstreams = new UpstreamTable();
            upstreams.put(LEAVING);
            upstreams.put(STAYING);
        }

        /** Is killed, and is told all news before it takes requests again. */
        private void restart() {
            down = true;
            begin();
            time.at(time.nowMillis() + DOWN_MILLIS, () -> {
                down = false;
                routers.forEach(other -> other.tellAll(this));
            });
        }

        private void tellAll() {
            routers.forEach(this::tellAll);
        }

        private void tellAll(RouterModel other) {
            AnnouncedDrain drain = upstreams.drains().find(LEAVING.id());
            if (drain != null) {
                deliver(other, drain);
            }
        }

        private void arrive() {
            if (down) {
                return;
            }
            List<UpstreamEntry> usable = upstreams.usable(SERVICE);
            UpstreamEntry chosen = usable.get(random.nextInt(usable.size()));
            if (!chosen.equals(LEAVING)) {
                return;
            }
            long sentMillis = time.nowMillis();
            sentAfterOwnRead += hasRead ? 1 : 0;
            if (sentMillis > firstReadMillis) {
                sentAfterAnyRead++;
                latestMillis = Math.max(latestMillis, sentMillis - firstReadMillis);
            }
            int mine = incarnation;
            long answerMillis = sentMillis + 1 + upTo(MOST_ANSWER_MILLIS);
            time.at(answerMillis, () -> answered(mine, sentMillis));
        }

        private void answered(int mine, long sentMillis) {
            if (mine != incarnation || down) {
                return;
            }
            boolean announces = time.nowMillis() >= ANNOUNCES_FROM_MILLIS;
            AdvertisedDrain stated = announces ? AdvertisedDrain.DRAINING : AdvertisedDrain.SERVING;
            DrainChange change = upstreams.drains().answerReceived(LEAVING.id(), stated, sentMillis, time.nowMillis());
            if (announces) {
                hasRead = true;
                firstReadMillis = Math.min(firstReadMillis, time.nowMillis());
            }
            if (change == DrainChange.BEGAN) {
                AnnouncedDrain drain = upstreams.drains().find(LEAVING.id());
                routers.forEach(other -> deliver(other, drain));
            }
        }

        /** Delivers news to another router, late if they are lost and come with all news. */
        private void deliver(RouterModel other, AnnouncedDrain drain) {
            if (other == this || down || isCut(this, other)) {
                return;
            }
            messages++;
            boolean lost = random.nextDouble() < scenario.lostShare();
            int meant = other.incarnation;
            time.at(time.nowMillis() + 1 + upTo(4) + (lost ? ALL_NEWS_MILLIS : 0), () -> {
                if (!other.down && other.incarnation == meant) {
                    other.upstreams.drains().reportedByPeer(LEAVING.id(), drain.announcedMillis(), time.nowMillis());
                }
            });
        }
    }
}
