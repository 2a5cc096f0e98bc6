package org.apricotstack.core.stop;

import java.util.ArrayList;
import java.util.List;

/** What callers got while routers were stopped. */
final class StopCounts {

    int stops;
    int attempts;
    int arrivedWhileStopping;
    int arrivedLate;
    int rejected;
    int noConnection;
    int questions;
    int emptyAnswers;
    int ended;
    int unserved;
    int cutAfterSignal;
    int cutBeforeSignal;
    int cutByStall;
    int killed;

    /** Killed before they ran again after a stall; these could not have ended by themselves. */
    int killedStalled;

    int notReady;
    int repeats;
    int repeatsTaken;
    int plainRejected;
    int plainRejectedWithTime;
    long retryAfterMillis;
    final List<Long> stopMillis = new ArrayList<>();

    /** Counts a request that arrives at a router; it is late if its caller should have forgotten the address. */
    void arrived(StopTimeline timeline, AddressLifetime addresses, long nowMillis) {
        if (timeline.stopping()) {
            arrivedWhileStopping++;
            arrivedLate += timeline.elapsedMillis(nowMillis) > addresses.longestMillis() ? 1 : 0;
        }
    }

    @Override
    public String toString() {
        return "stops=" + stops + " attempts=" + attempts + " arrivedWhileStopping=" + arrivedWhileStopping + " late="
                + arrivedLate + " rejected=" + rejected + " noConnection=" + noConnection + " questions=" + questions
                + " emptyAnswers=" + emptyAnswers + " ended=" + ended
                + " unserved=" + unserved + " cutAfterSignal=" + cutAfterSignal + " cutBeforeSignal=" + cutBeforeSignal
                + " cutByStall=" + cutByStall + " killed=" + killed + " killedStalled=" + killedStalled + " notReady="
                + notReady + " repeats=" + repeats
                + " repeatsTaken=" + repeatsTaken + " retryAfterMillis=" + retryAfterMillis + " plainRejected="
                + plainRejected + " plainRejectedWithTime=" + plainRejectedWithTime + " meanStopMillis="
                + stopMillis.stream().mapToLong(Long::longValue).average().orElse(0);
    }
}
