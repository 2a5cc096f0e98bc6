package org.apricotstack.core.link;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.Address;

/**
 * The links of this router to upstreams that are lost while another router still reaches the upstream.
 *
 * <p>A connection that fails from here does not show whether the link or the upstream failed. Only if another router
 * opens a connection to the same upstream at the same time, the link of this router is lost; otherwise the upstream is
 * unreachable, which is not recorded here.
 */
public final class LinkTable {

    /** Interval at which a new connection is also tried directly while the link is lost, in milliseconds. */
    public static final long PROBE_MILLIS = 500;

    /** Failed direct connections in a row after which requests that are silent on open connections are given up. */
    private static final int CONFIRMING_FAILURES = 2;

    /** Time without a connection after which nothing is known of a link any more, in milliseconds. */
    private static final long FORGET_MILLIS = 10_000;

    private final Map<Address, LostLink> lost = new HashMap<>();

    /** A lost link. */
    private static final class LostLink {
        private int failures;
        private boolean silent;
        private long lastProbeMillis;
        private long lastUseMillis;
    }

    /** What the failure of a direct connection showed. */
    public enum Change {
        /** The link was not known to be lost. */
        LOST,
        /** The link was known to be lost, and connections on it are given up from now on. */
        CONFIRMED,
        /** Nothing new. */
        NONE
    }

    /**
     * Returns how the next connection to an upstream is opened.
     *
     * @param upstream its address
     * @param nowMillis the current time
     * @return the route
     */
    public LinkRoute next(Address upstream, long nowMillis) {
        LostLink link = lost.get(upstream);
        if (link == null) {
            return LinkRoute.DIRECT;
        }
        link.lastUseMillis = nowMillis;
        if (nowMillis - link.lastProbeMillis < PROBE_MILLIS) {
            return LinkRoute.RELAYED;
        }
        link.lastProbeMillis = nowMillis;
        return LinkRoute.BOTH;
    }

    /**
     * Records that this router opened a connection to an upstream itself.
     *
     * @param upstream its address
     * @return whether its link was lost until now
     */
    public boolean connected(Address upstream) {
        return lost.remove(upstream) != null;
    }

    /**
     * Records that another router opened a connection to an upstream while this one failed to.
     *
     * @param upstream its address
     * @param silent whether the direct connection timed out; open connections may then be silent too
     * @param nowMillis the current time
     * @return what is new
     */
    public Change onlyRelayed(Address upstream, boolean silent, long nowMillis) {
        boolean isNew = !lost.containsKey(upstream);
        LostLink link = lost.computeIfAbsent(upstream, address -> new LostLink());
        link.failures++;
        link.silent = silent;
        link.lastUseMillis = nowMillis;
        if (isNew) {
            link.lastProbeMillis = nowMillis;
            return Change.LOST;
        }
        return silent && link.failures == CONFIRMING_FAILURES ? Change.CONFIRMED : Change.NONE;
    }

    /**
     * Returns whether an idle connection to an upstream may be used.
     *
     * @param upstream its address
     * @param relayed whether it leads through another router
     * @return {@code false} for a direct one that may be silent, and for a detour that is no longer needed
     */
    public boolean mayReuse(Address upstream, boolean relayed) {
        LostLink link = lost.get(upstream);
        return link == null ? !relayed : relayed || !link.silent;
    }

    /**
     * Returns whether the link to an upstream is lost.
     *
     * @param upstream its address
     * @return whether only other routers reach it
     */
    public boolean isLost(Address upstream) {
        return lost.containsKey(upstream);
    }

    /**
     * Returns the number of lost links.
     *
     * @return upstreams that only other routers reach
     */
    public int lost() {
        return lost.size();
    }

    /**
     * Forgets lost links that were not used for a while.
     *
     * @param nowMillis the current time
     * @return their addresses
     */
    public List<Address> expire(long nowMillis) {
        List<Address> expired = lost.entrySet().stream()
                .filter(entry -> nowMillis - entry.getValue().lastUseMillis > FORGET_MILLIS)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(lost::remove);
        return expired;
    }
}
