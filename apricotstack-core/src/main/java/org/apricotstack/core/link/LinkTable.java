package org.apricotstack.core.link;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.apricotstack.core.id.Address;

/**
 * The links of this router to upstreams that are lost while another router still reaches the upstream.
 *
 * <p>A connection that fails from here does not show whether the link or the upstream failed. Only if another router
 * opens a connection to the same upstream at the same time, the link of this router is lost; otherwise the upstream is
 * unreachable, and no request waits for a connection to it until one was opened again.
 */
public final class LinkTable {

    /** Least interval between tests of the same upstream, in milliseconds. */
    public static final long PROBE_MILLIS = 500;

    /** Least time between any two tests of lost links or of unreachable upstreams, in milliseconds. */
    private static final long MIN_GAP_MILLIS = 10;

    private final Map<Address, LostLink> lost = new HashMap<>();
    private final Set<Address> unreachable = new HashSet<>();

    /** A lost link. */
    private static final class LostLink {
        private int failedTests;
        private boolean silent;
    }

    /**
     * Records that this router opened a connection to an upstream itself.
     *
     * @param upstream its address
     * @return whether its link was lost until now
     */
    public boolean connected(Address upstream) {
        unreachable.remove(upstream);
        return lost.remove(upstream) != null;
    }

    /**
     * Records that another router opened a connection to an upstream while this one failed to.
     *
     * @param upstream its address
     * @param silent whether the direct connection timed out; open connections may then be silent too
     * @return whether the link was not known to be lost
     */
    public boolean onlyRelayed(Address upstream, boolean silent) {
        unreachable.remove(upstream);
        boolean isNew = !lost.containsKey(upstream);
        LostLink link = lost.computeIfAbsent(upstream, address -> new LostLink());
        link.silent = silent;
        return isNew;
    }

    /**
     * Records that neither this router nor another one opened a connection to an upstream.
     *
     * @param upstream its address
     * @return whether it was not known to be unreachable
     */
    public boolean markUnreachable(Address upstream) {
        lost.remove(upstream);
        return unreachable.add(upstream);
    }

    /**
     * Records that a connection to an upstream was opened by some router.
     *
     * @param upstream its address
     */
    public void reached(Address upstream) {
        unreachable.remove(upstream);
    }

    /**
     * Returns whether a connection to an upstream would fail.
     *
     * @param upstream its address
     * @return whether no router reached it when it was last tried
     */
    public boolean isUnreachable(Address upstream) {
        return unreachable.contains(upstream);
    }

    /**
     * Returns the number of unreachable upstreams.
     *
     * @return upstreams that no router reaches
     */
    public int unreachableCount() {
        return unreachable.size();
    }

    /**
     * Returns the time until the next test of a lost link or of an unreachable upstream; the more there are, the rarer
     * is each tested.
     *
     * @return the interval, in milliseconds
     */
    public long probeIntervalMillis() {
        return Math.max(PROBE_MILLIS, MIN_GAP_MILLIS * Math.max(lost.size(), unreachable.size()));
    }

    /**
     * Records that a test of a lost link failed. The first one confirms the loss: connections that were opened at the
     * same time as the one that showed it may all have failed for the same reason.
     *
     * @param upstream its address
     * @param silent whether the direct connection timed out
     * @return whether requests that wait on open connections of the link are to be given up now
     */
    public boolean probeFailed(Address upstream, boolean silent) {
        LostLink link = lost.get(upstream);
        if (link == null) {
            return false;
        }
        link.failedTests++;
        link.silent = silent;
        return silent && link.failedTests == 1;
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
    public int lostCount() {
        return lost.size();
    }

    /**
     * Forgets the link to an address that no upstream has any more.
     *
     * @param upstream the address
     */
    public void forget(Address upstream) {
        lost.remove(upstream);
        unreachable.remove(upstream);
    }
}
