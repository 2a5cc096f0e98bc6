package org.apricotstack.core.stop;

import java.util.stream.LongStream;

import org.apricotstack.core.time.StallDetector;

/** Decides how long a stopping router takes requests, and when its process ends. */
public final class StopPolicy {

    /** Retry-after for callers that can go to another router, in milliseconds. */
    private static final long OTHER_ROUTER_MILLIS = 100;

    /** Time after the signal in which callers may not know of the stop, in milliseconds. */
    private static final long UNAWARE_MILLIS = 3_000;

    /** A signal may be older than it looks by a delay that does not count as a stall, in milliseconds. */
    private static final long SIGNAL_DELAY_MILLIS = StallDetector.INTERVAL_MILLIS;

    /** Time from the end of a process until the next one on its host is ready, in milliseconds. */
    private static final long RESTART_MILLIS = 1_000;

    /** Callers return this many times as fast as they were rejected. */
    private static final int RETURN_RATE = 2;

    private final StopTimeline timeline;
    private final long cachedMillis;
    private final long closesIdleMillis;

    /**
     * Creates the policy of a router.
     *
     * @param timeoutMillis time between the signal and the kill of the process, in milliseconds
     * @param addresses how long callers cache the router's address
     */
    public StopPolicy(long timeoutMillis, AddressLifetime addresses) {
        this.timeline = new StopTimeline(timeoutMillis);
        this.cachedMillis = addresses.longestMillis();
        this.closesIdleMillis = Math.min(cachedMillis, timeline.durationMillis() / 2);
    }

    /**
     * Returns the timeline of the router's stop.
     *
     * @return the timeline
     */
    public StopTimeline timeline() {
        return timeline;
    }

    /**
     * Returns whether a request is taken, because it is completed before the process ends.
     *
     * @param longestMillis the longest time that it takes, in milliseconds
     * @param nowMillis the current time
     * @return {@code false} if it is rejected
     */
    public boolean takes(long longestMillis, long nowMillis) {
        return longestMillis <= timeline.leftMillis(nowMillis);
    }

    /**
     * Returns the time that has to be left for a request, so that the end of the process does not cut it.
     *
     * <p>The other routers may send more requests to its upstream later, and no estimate bounds what these cost. One
     * that arrived late is therefore taken only if its deadline comes before the end. Its caller can go to another
     * router; an earlier one, or one without another router, may lose seconds by a rejection.
     *
     * @param duration how long the request takes
     * @param others the other routers
     * @param arrivedMillis when the request arrived
     * @return milliseconds
     */
    public long neededMillis(RequestDuration duration, OtherRouters others, long arrivedMillis) {
        return isLate(others, arrivedMillis) ? duration.limitMillis() : duration.longestMillis();
    }

    /**
     * Returns whether a request arrived after its caller could know of the stop, and another router is ready.
     *
     * @param others the other routers
     * @param arrivedMillis when the request arrived
     * @return {@code false} also if this router is not stopping
     */
    public boolean isLate(OtherRouters others, long arrivedMillis) {
        return isLateAfter(others, timeline.elapsedMillis(arrivedMillis));
    }

    /** Returns the same for a request that arrives the given time after the signal of its router. */
    private static boolean isLateAfter(OtherRouters others, long elapsedMillis) {
        return others.ready() && elapsedMillis > UNAWARE_MILLIS - SIGNAL_DELAY_MILLIS;
    }

    /**
     * Returns when a rejected caller is served by any router whose address it may still cache, except this one.
     *
     * @param others the other routers
     * @param duration how long the request takes
     * @param nowMillis the current time
     * @return time until the caller should send its request again, in milliseconds
     */
    public long retryAfterMillis(OtherRouters others, RequestDuration duration, long nowMillis) {
        return LongStream.concat(
                        LongStream.of(OTHER_ROUTER_MILLIS),
                        others.stopLeftMillis().stream().mapToLong(this::forgottenInMillis))
                .filter(afterMillis -> afterMillis >= OTHER_ROUTER_MILLIS)
                .filter(afterMillis -> served(others, duration, afterMillis))
                .min()
                .orElseGet(() -> restartedInMillis(others, duration.longestMillis(), nowMillis));
    }

    /** Returns whether every other router that callers may go to after the given time takes the request. */
    private boolean served(OtherRouters others, RequestDuration duration, long afterMillis) {
        boolean anyTakes = others.ready() || others.longestLeftMillis() - afterMillis >= duration.longestMillis();
        return anyTakes
                && others.stopLeftMillis().stream()
                        .allMatch(leftMillis -> stoppingTakes(others, duration, leftMillis - afterMillis)
                                || forgottenInMillis(leftMillis) <= afterMillis);
    }

    /** Returns whether another stopping router takes the request when it has the given time left. */
    private boolean stoppingTakes(OtherRouters others, RequestDuration duration, long leftMillis) {
        boolean late = isLateAfter(others, timeline.durationMillis() - leftMillis);
        return leftMillis >= (late ? duration.limitMillis() : duration.longestMillis());
    }

    /** Returns the time until no caller caches the address of a router with the given time left, in milliseconds. */
    private long forgottenInMillis(long leftMillis) {
        return cachedMillis - (timeline.durationMillis() - leftMillis);
    }

    /**
     * Returns when the first stopping router, this one included, can be back; most end as soon as they have closed idle
     * connections. Callers that were rejected later return later, whichever router rejected them.
     */
    private long restartedInMillis(OtherRouters others, long longestMillis, long nowMillis) {
        long ownLeftMillis = Math.max(0, timeline.leftMillis(nowMillis));
        long soonestEndMillis = Math.min(ownLeftMillis, others.soonestEndMillis());
        long earliestEndMillis = Math.max(0, soonestEndMillis - (timeline.durationMillis() - closesIdleMillis));
        long missedMillis = Math.max(0, longestMillis - Math.max(ownLeftMillis, others.longestLeftMillis()));
        return earliestEndMillis + RESTART_MILLIS + missedMillis / RETURN_RATE;
    }

    /**
     * Returns whether idle connections of callers are closed.
     *
     * @param nowMillis the current time
     * @return {@code false} while callers may still use their connections
     */
    public boolean closesIdle(long nowMillis) {
        return timeline.stopping()
                && timeline.announcedForMillis(nowMillis)
                        >= Math.min(closesIdleMillis, timeline.leftWhenAnnouncedMillis() / 2);
    }

    /**
     * Returns whether the process ends.
     *
     * @param open number of requests in flight and of connections that must not be closed yet
     * @param lastOfDataCentre whether callers would find nobody to ask for addresses until another router is back
     * @param nowMillis the current time
     * @return whether no caller needs it any more, or no time is left
     */
    public boolean ends(int open, boolean lastOfDataCentre, long nowMillis) {
        return closesIdle(nowMillis) && open == 0 && !lastOfDataCentre || timeline.leftMillis(nowMillis) <= 0;
    }
}
