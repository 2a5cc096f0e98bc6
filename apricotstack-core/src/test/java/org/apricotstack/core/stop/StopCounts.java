package org.apricotstack.core.stop;

import java.util.ArrayList;
import java.util.List;

/** What callers got while routers were stopped. */
final class StopCounts {

    /** Time for which an answer says that callers may cache it, in milliseconds. */
    static final long TTL_MILLIS = 2_000;

    int stops;
    int attempts;
    int arrivedWhileStopping;
    int arrivedLate;
    int rejected;
    int noConnection;
    int ended;
    int unserved;
    int cutAfterSignal;
    int cutBeforeSignal;
    final List<Long> stopMillis = new ArrayList<>();

    /** Counts a request that arrives at a router. */
    void arrived(StopTimeline timeline, long nowMillis) {
        if (timeline.stopping()) {
            arrivedWhileStopping++;
            arrivedLate += timeline.elapsedMillis(nowMillis) > 3 * TTL_MILLIS ? 1 : 0;
        }
    }

    @Override
    public String toString() {
        return "stops=" + stops + " attempts=" + attempts + " arrivedWhileStopping=" + arrivedWhileStopping + " late="
                + arrivedLate + " rejected=" + rejected + " noConnection=" + noConnection + " ended=" + ended
                + " unserved=" + unserved + " cutAfterSignal=" + cutAfterSignal + " cutBeforeSignal=" + cutBeforeSignal
                + " meanStopMillis="
                + stopMillis.stream().mapToLong(Long::longValue).average().orElse(0);
    }
}
