package org.apricotstack.core.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.VirtualTime;

/** Routers in virtual time that send all their requests to one upstream, which turns all away for a while. */
final class SeededBackOffs {

    private static final UpstreamId UPSTREAM = new UpstreamId("upstream", 1);
    private static final long DAY_MILLIS = 60_000;
    private static final long SHEDS_FROM_MILLIS = 5_000;
    private static final long SHEDS_UNTIL_MILLIS = 30_000;

    /** Time from the upstream's answer on in which its router may not have read it, in milliseconds. */
    private static final long ON_ITS_WAY_MILLIS = 500;

    private static final int MOST_GAP_MILLIS = 20;
    private static final int MOST_WAY_MILLIS = 4;
    private static final int MOST_ANSWER_MILLIS = 400;

    private final VirtualTime time = new VirtualTime();
    private final List<RouterModel> routers = new ArrayList<>();
    private final Random random;
    private final long mostRestMillis;
    private int arrivedInRest;
    private int refusedInVain;

    /** Creates routers that are asked for back-offs up to some length. */
    SeededBackOffs(int count, long mostRestMillis, long seed) {
        this.mostRestMillis = mostRestMillis;
        this.random = new Random(seed);
        for (int i = 0; i < count; i++) {
            routers.add(new RouterModel());
        }
    }

    /** Plays a day. */
    SeededBackOffs play() {
        for (long at = 0; at < DAY_MILLIS; at += 1 + random.nextInt(MOST_GAP_MILLIS)) {
            time.at(at, () -> routers.get(random.nextInt(routers.size())).arrive());
        }
        time.run();
        return this;
    }

    /** Returns the requests that came from a router later than half a second after it was asked for a rest. */
    int arrivedInRest() {
        return arrivedInRest;
    }

    /** Returns the requests that a router held back though none of the rests that it was asked for goes on. */
    int refusedInVain() {
        return refusedInVain;
    }

    /**
     * What an answer of the upstream asked for.
     *
     * @param answeredMillis when it was given
     * @param readMillis when the router read it
     * @param millis for how long
     */
    private record Rest(long answeredMillis, long readMillis, long millis) {}

    /** A router. */
    private final class RouterModel {
        private final BackOffTable table = new BackOffTable();
        private final List<Rest> rests = new ArrayList<>();

        private void arrive() {
            long now = time.nowMillis();
            if (table.opensMillis(UPSTREAM, now) == 0) {
                time.at(now + 1 + random.nextInt(MOST_WAY_MILLIS), this::reach);
            } else if (rests.stream().noneMatch(rest -> now < rest.readMillis() + rest.millis())) {
                refusedInVain++;
            }
        }

        private void reach() {
            long now = time.nowMillis();
            if (rests.stream()
                    .anyMatch(rest -> now > rest.answeredMillis() + ON_ITS_WAY_MILLIS
                            && now < rest.answeredMillis() + rest.millis())) {
                arrivedInRest++;
            }
            if (now >= SHEDS_FROM_MILLIS && now < SHEDS_UNTIL_MILLIS) {
                long millis = 1 + (long) (random.nextDouble() * mostRestMillis);
                long readMillis = now + 1 + random.nextInt(MOST_ANSWER_MILLIS);
                rests.add(new Rest(now, readMillis, millis));
                time.at(readMillis, () -> table.backOffRequested(UPSTREAM, millis, time.nowMillis()));
            }
        }
    }
}
