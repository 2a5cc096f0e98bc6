package org.apricotstack.core.membership;

import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;

/**
 * One version of the platform's list of live and leaving hosts. The list lags behind, so it limits which hosts can
 * exist but does not show which of them answer.
 *
 * @param version the version of the list
 * @param routers router hosts by id
 * @param leavingUpstreams upstreams that the list marks as leaving
 */
public record Roster(long version, SortedMap<HostId, RosterHost> routers, Set<UpstreamId> leavingUpstreams) {

    /** The roster before the first list was received. */
    public static final Roster EMPTY = new Roster(0, new TreeMap<>(), Set.of());
}
