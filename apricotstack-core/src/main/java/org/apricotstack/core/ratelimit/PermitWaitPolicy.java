package org.apricotstack.core.ratelimit;

/**
 * Decides whether a request waits until a limit lets it pass, as all upstreams that it may use are closed by theirs.
 *
 * <p>Load that it answers: more requests than all upstreams together take. Of the routers that are told to come back
 * for a permit most get none; requests that waited for it again and again would be refused seconds later.
 */
public final class PermitWaitPolicy {

    /** Part of the target latency for which a request may wait; the rest is left for its answer. */
    private static final long WAIT_DIVISOR = 4;

    private PermitWaitPolicy() {}

    /**
     * Tells whether a request may wait.
     *
     * @param opensMillis time until an upstream opens, in milliseconds
     * @param elapsedMillis how long ago the request arrived, in milliseconds
     * @param targetMillis its target latency, in milliseconds
     * @param waiting requests that wait at this router already
     * @param closed upstreams that are closed; one request waits for each
     * @return whether it may; otherwise it is refused at once
     */
    public static boolean isAllowed(
            long opensMillis, long elapsedMillis, long targetMillis, int waiting, int closedUpstreams) {
        return elapsedMillis + opensMillis < targetMillis / WAIT_DIVISOR && waiting < closedUpstreams;
    }
}
