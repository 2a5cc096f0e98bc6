package org.apricotstack.core.ratelimit;

/**
 * Decides whether a request waits for a permit if the limits of all its candidate upstreams are used up.
 *
 * <p>This matters when the load exceeds the limits of all upstreams together. Most routers that retry for a permit are
 * granted none, and requests that waited repeatedly would be refused seconds later.
 */
public final class PermitWaitPolicy {

    /**
     * Divisor for the part of the target latency that a request may spend waiting; the rest is left for the response.
     */
    private static final long WAIT_DIVISOR = 4;

    private PermitWaitPolicy() {}

    /**
     * Tells whether a request may wait.
     *
     * @param blockedMillis time until a permit for an upstream may be available, in milliseconds
     * @param elapsedMillis time since the request arrived, in milliseconds
     * @param targetMillis its target latency, in milliseconds
     * @param waiting number of requests already waiting at this router
     * @param closedUpstreams number of upstreams without permits; one request may wait for each
     * @return whether it may wait; otherwise it has to be refused at once
     */
    public static boolean isAllowed(
            long blockedMillis, long elapsedMillis, long targetMillis, int waiting, int closedUpstreams) {
        return elapsedMillis + blockedMillis < targetMillis / WAIT_DIVISOR && waiting < closedUpstreams;
    }
}
