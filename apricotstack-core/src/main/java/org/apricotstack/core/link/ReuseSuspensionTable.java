package org.apricotstack.core.link;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.Address;

/**
 * Upstreams that get each request on a new connection for a while, as they sent responses that belong to no request.
 *
 * <p>Such a response on a kept connection may take the place of the one to the next request. Several of them in a short
 * time, or one that cost a request its response, suspend the reuse of connections. New connections cost more, so reuse
 * is tried again after a while.
 */
public final class ReuseSuspensionTable {

    /** Number of unmatched responses within {@link #OBSERVED_MILLIS} that suspend the reuse of connections. */
    static final int MAX_UNMATCHED = 3;

    /** Time in which unmatched responses are counted together, in milliseconds. */
    static final long OBSERVED_MILLIS = 10_000;

    /** Time for which connections are not reused, in milliseconds. */
    static final long SUSPENSION_MILLIS = 30_000;

    private final Map<Address, Observations> observations = new HashMap<>();

    /** What was observed of one upstream. */
    private static final class Observations {
        private final Deque<Long> unmatchedMillis = new ArrayDeque<>();
        private long suspendedUntilMillis = Long.MIN_VALUE;

        /** Removes the times of responses that no longer count. */
        private void removeOld(long nowMillis) {
            while (!unmatchedMillis.isEmpty() && nowMillis - unmatchedMillis.peekFirst() >= OBSERVED_MILLIS) {
                unmatchedMillis.removeFirst();
            }
        }

        private boolean isSuspended(long nowMillis) {
            return nowMillis < suspendedUntilMillis;
        }
    }

    /**
     * Records a response that does not belong to a request of this router.
     *
     * @param upstream address of the upstream
     * @param nowMillis the current time, in milliseconds
     */
    public void unmatched(Address upstream, long nowMillis) {
        Observations observed = observations.computeIfAbsent(upstream, address -> new Observations());
        observed.removeOld(nowMillis);
        observed.unmatchedMillis.addLast(nowMillis);
        if (observed.unmatchedMillis.size() >= MAX_UNMATCHED) {
            suspend(observed, nowMillis);
        }
    }

    /**
     * Records that a request was not answered, as a response that does not belong to it came instead.
     *
     * @param upstream address of the upstream
     * @param nowMillis the current time, in milliseconds
     */
    public void responseLost(Address upstream, long nowMillis) {
        suspend(observations.computeIfAbsent(upstream, address -> new Observations()), nowMillis);
    }

    private static void suspend(Observations observed, long nowMillis) {
        observed.unmatchedMillis.clear();
        observed.suspendedUntilMillis = nowMillis + SUSPENSION_MILLIS;
    }

    /**
     * Returns whether a connection to an upstream may carry another request.
     *
     * @param upstream address of the upstream
     * @param nowMillis the current time, in milliseconds
     * @return {@code false} while the reuse of its connections is suspended
     */
    public boolean mayReuse(Address upstream, long nowMillis) {
        Observations observed = observations.get(upstream);
        return observed == null || !observed.isSuspended(nowMillis);
    }

    /**
     * Returns the number of upstreams that get each request on a new connection.
     *
     * @param nowMillis the current time, in milliseconds
     * @return upstreams
     */
    public long suspendedCount(long nowMillis) {
        return observations.values().stream()
                .filter(observed -> observed.isSuspended(nowMillis))
                .count();
    }

    /**
     * Removes what no longer counts.
     *
     * @param nowMillis the current time, in milliseconds
     */
    public void expire(long nowMillis) {
        observations.values().removeIf(observed -> {
            observed.removeOld(nowMillis);
            return observed.unmatchedMillis.isEmpty() && !observed.isSuspended(nowMillis);
        });
    }
}
