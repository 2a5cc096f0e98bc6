package org.apricotstack.core.stop;

/** Decides how long a stopping router takes requests, and when its process ends. */
public final class StopPolicy {

    /** Retry-after for callers that can go to another router, in milliseconds. */
    private static final long OTHER_ROUTER_MILLIS = 100;

    /** Time from the end of a process until the next one on its host is ready, in milliseconds. */
    private static final long RESTART_MILLIS = 1_000;

    private final StopTimeline timeline;
    private final long closesIdleMillis;

    /**
     * Creates the policy of a router.
     *
     * @param timeoutMillis time between the signal and the kill of the process, in milliseconds
     * @param addresses how long callers cache the router's address
     */
    public StopPolicy(long timeoutMillis, AddressLifetime addresses) {
        this.timeline = new StopTimeline(timeoutMillis);
        this.closesIdleMillis = Math.min(addresses.longestMillis(), timeline.durationMillis() / 2);
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
     * Returns when a rejected caller can be served. Without a router that takes the request now this is when the first
     * stopping router, this one included, can be back; most end as soon as they have closed idle connections.
     *
     * @param others the other routers
     * @param longestMillis the longest time that the request takes, in milliseconds
     * @param nowMillis the current time
     * @return time until a router can take the request, in milliseconds
     */
    public long retryAfterMillis(OtherRouters others, long longestMillis, long nowMillis) {
        if (others.ready() || others.longestLeftMillis() >= longestMillis) {
            return OTHER_ROUTER_MILLIS;
        }
        long leftMillis = Math.min(Math.max(0, timeline.leftMillis(nowMillis)), others.soonestEndMillis());
        long earliestEndMillis = Math.max(0, leftMillis - (timeline.durationMillis() - closesIdleMillis));
        return earliestEndMillis + RESTART_MILLIS;
    }

    /**
     * Returns whether idle connections of callers are closed.
     *
     * @param nowMillis the current time
     * @return {@code false} while callers may still use their connections
     */
    public boolean closesIdle(long nowMillis) {
        return timeline.stopping() && timeline.elapsedMillis(nowMillis) >= closesIdleMillis;
    }

    /**
     * Returns whether the process ends.
     *
     * @param open number of requests in flight and of connections that must not be closed yet
     * @param nowMillis the current time
     * @return whether no caller needs it any more, or no time is left
     */
    public boolean ends(int open, long nowMillis) {
        return closesIdle(nowMillis) && open == 0 || timeline.leftMillis(nowMillis) <= 0;
    }
}
