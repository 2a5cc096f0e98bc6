package org.apricotstack.core.membership;

import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;

/**
 * One version of the platform's list of live and leaving hosts. It lags, so it bounds who can exist, and does not
 * tell who answers.
 *
 * @param version the version of the list
 * @param routers router hosts by name
 * @param leavingUpstreams upstreams that the list marks as leaving
 */
public record Roster(long version, SortedMap<HostId, RosterHost> routers, Set<UpstreamId> leavingUpstreams) {

    /** The roster before any list was read. */
    public static final Roster EMPTY = new Roster(0, new TreeMap<>(), Set.of());
}
