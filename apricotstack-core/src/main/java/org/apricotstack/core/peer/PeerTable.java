package org.apricotstack.core.peer;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.stop.OtherRouters;

/**
 * The other routers and the time of the last heartbeat of each.
 *
 * <p>A silent router is soon left out of the addresses for callers, but its placements count for longer: if it is only
 * partitioned from this router, its requests still run on the engines.
 */
public final class PeerTable {

    /** Minimum silence after which a router is suspected, in milliseconds: three heartbeats of a small fleet. */
    public static final long SUSPECT_MILLIS = 1_600;

    /** Missed heartbeat intervals after which a router with a long interval is suspected. */
    private static final double SUSPECT_HEARTBEATS = 2.6;

    /** Minimum silence after which a router counts as dead and its placements are removed, in milliseconds. */
    public static final long DEAD_MILLIS = 4_000;

    /**
     * Minimum silence after which a router's address is removed, in milliseconds; longer than any usual outage. A
     * router with a longer heartbeat interval is kept until several heartbeats are missing.
     */
    public static final long FORGET_MILLIS = 120_000;

    /**
     * Minimum number of routers in an answer to a caller, if there are as many: one alone would be a single point of
     * failure.
     */
    private static final int MIN_CALLER_ADDRESSES = 2;

    /**
     * Callers are sent to the stopping routers that end at most this long before the last one, in milliseconds, so that
     * they do not all use the same one.
     */
    private static final long STOP_SPREAD_MILLIS = 500;

    /**
     * Routers whose stops end at most this long after each other count as stopped at the same time, in milliseconds:
     * the time that a heartbeat takes is not known.
     */
    private static final long SAME_STOP_MILLIS = 100;

    private final Map<HostId, LastHeartbeat> lastHeartbeats = new HashMap<>();
    private final Set<Address> addresses = new HashSet<>();
    private final EntryWeights weights = new EntryWeights();

    /**
     * A router's last heartbeat.
     *
     * @param peer the state it reported
     * @param atMillis the time of arrival
     */
    private record LastHeartbeat(Peer peer, long atMillis) {

        /** Returns the silence after which the router is suspected, in milliseconds. */
        private long suspectMillis() {
            return Math.max(SUSPECT_MILLIS, (long) (SUSPECT_HEARTBEATS * peer.nextHeartbeatMillis()));
        }

        /** Returns the time until the router ends if it is stopping, in milliseconds; 0 otherwise. */
        private long stopLeftMillis(long nowMillis) {
            return Math.max(0, peer.stopLeftMillis() - (nowMillis - atMillis));
        }

        /** Returns the silence after which its address is removed, in milliseconds. */
        private long forgetMillis() {
            return Math.max(FORGET_MILLIS, suspectMillis());
        }

        /** Returns the silence after which its placements are removed, in milliseconds. */
        private long deadMillis() {
            return Math.max(DEAD_MILLIS, suspectMillis());
        }
    }

    /**
     * Records a heartbeat. Incarnations are not compared: they come from the wall clock, which can jump back between
     * two starts, and only one process runs on a host.
     *
     * @param peer the state it reports
     * @param nowMillis the current time
     * @return the previous process on that host if a different one ran there; otherwise {@code null}
     */
    public ProcessId recordHeartbeat(Peer peer, long nowMillis) {
        LastHeartbeat before = lastHeartbeats.get(peer.process().host());
        lastHeartbeats.put(peer.process().host(), new LastHeartbeat(peer, nowMillis));
        addresses.add(peer.peerAddress());
        return before == null || before.peer().process().equals(peer.process())
                ? null
                : before.peer().process();
    }

    /**
     * Records the loss of a connection to a router, which is suspected until its next heartbeat.
     *
     * @param peerAddress the remote address of the connection
     * @param nowMillis the current time
     */
    public void connectionLost(Address peerAddress, long nowMillis) {
        lastHeartbeats.replaceAll((host, last) -> last.peer().peerAddress().equals(peerAddress)
                ? new LastHeartbeat(last.peer(), Math.min(last.atMillis(), nowMillis - last.suspectMillis()))
                : last);
    }

    /**
     * Records that another router suspects a host. The report only counts for a standby router without a recent
     * heartbeat: active routers send heartbeats often, so this router detects their silence itself.
     *
     * @param host the host that is reported as silent
     * @param nowMillis the current time
     */
    public void reportedSilent(HostId host, long nowMillis) {
        lastHeartbeats.computeIfPresent(
                host,
                (same, last) -> last.peer().takesCallers() || nowMillis - last.atMillis() < SUSPECT_MILLIS
                        ? last
                        : new LastHeartbeat(last.peer(), Math.min(last.atMillis(), nowMillis - last.suspectMillis())));
    }

    /**
     * Returns the hosts whose routers are suspected.
     *
     * @param max maximum number of hosts
     * @param nowMillis the current time
     * @return the hosts
     */
    public List<HostId> suspectedHosts(int max, long nowMillis) {
        return lastHeartbeats.values().stream()
                .filter(last -> nowMillis - last.atMillis() >= last.suspectMillis())
                .map(last -> last.peer().process().host())
                .limit(max)
                .toList();
    }

    /**
     * Adds a possible address of a router, from the settings or from a peer.
     *
     * @param address the address
     */
    public void addAddress(Address address) {
        addresses.add(address);
    }

    /**
     * Returns the addresses to connect to.
     *
     * @return a live view of the addresses
     */
    public Set<Address> addresses() {
        return Collections.unmodifiableSet(addresses);
    }

    /**
     * Returns whether a heartbeat of a router has arrived and is not yet forgotten.
     *
     * @param peerAddress its address for other routers
     * @return whether it is known by more than its address
     */
    public boolean hasHeartbeatFrom(Address peerAddress) {
        return lastHeartbeats.values().stream()
                .anyMatch(last -> last.peer().peerAddress().equals(peerAddress));
    }

    /**
     * Returns the routers with recent heartbeats.
     *
     * @param nowMillis the current time
     * @return the routers that are not suspected
     */
    public List<Peer> alive(long nowMillis) {
        List<Peer> alive = new ArrayList<>();
        for (LastHeartbeat last : lastHeartbeats.values()) {
            if (nowMillis - last.atMillis() < last.suspectMillis()) {
                alive.add(last.peer());
            }
        }
        return alive;
    }

    /**
     * Returns where the callers of this router can go while it is stopping.
     *
     * @param nowMillis the current time
     * @return the other routers that are not suspected
     */
    public OtherRouters others(long nowMillis) {
        boolean ready = alive(nowMillis).stream().anyMatch(Peer::ready);
        return new OtherRouters(
                ready,
                stopping(nowMillis).stream()
                        .map(last -> last.stopLeftMillis(nowMillis))
                        .toList());
    }

    /**
     * Returns whether a stopping router is the last one of its data centre that can tell callers of the ready routers
     * elsewhere, until another one there is back. Of routers that stop at the same time, the last one by host name is.
     *
     * @param own the stopping router
     * @param nowMillis the current time
     * @return whether callers would find nobody to ask if it ended
     */
    public boolean isLastOfDataCentre(Peer own, long nowMillis) {
        boolean readyElsewhere = false;
        boolean restarts = false;
        for (LastHeartbeat last : lastHeartbeats.values()) {
            Peer peer = last.peer();
            boolean near = peer.dataCentre().equals(own.dataCentre());
            boolean suspected = nowMillis - last.atMillis() >= last.suspectMillis();
            if (near && !suspected && (peer.ready() || endsAfter(last, own, nowMillis))) {
                return false;
            }
            readyElsewhere |= !near && !suspected && peer.ready();
            restarts |= near && !peer.ready() && nowMillis - last.atMillis() < last.deadMillis();
        }
        return readyElsewhere && restarts;
    }

    /** Returns whether a stopping router ends after another one. */
    private static boolean endsAfter(LastHeartbeat last, Peer other, long nowMillis) {
        long laterMillis = last.stopLeftMillis(nowMillis) - other.stopLeftMillis();
        if (Math.abs(laterMillis) > SAME_STOP_MILLIS) {
            return laterMillis > 0;
        }
        return last.stopLeftMillis(nowMillis) > 0
                && last.peer().process().host().compareTo(other.process().host()) > 0;
    }

    /** Returns the stopping routers that still take requests and are not suspected. */
    private List<LastHeartbeat> stopping(long nowMillis) {
        return lastHeartbeats.values().stream()
                .filter(last -> nowMillis - last.atMillis() < last.suspectMillis())
                .filter(last -> last.stopLeftMillis(nowMillis) > 0)
                .toList();
    }

    /**
     * Returns a router's address for other routers.
     *
     * @param host its host
     * @return the address, or {@code null} without a heartbeat from that host
     */
    public Address addressOf(HostId host) {
        LastHeartbeat last = lastHeartbeats.get(host);
        return last == null ? null : last.peer().peerAddress();
    }

    /**
     * Counts the suspected routers that were active at their last heartbeat. Routers that announced that they stop are
     * not counted.
     *
     * @param nowMillis the current time
     * @return number of routers
     */
    public int silentEntryRouterCount(long nowMillis) {
        return (int) lastHeartbeats.values().stream()
                .filter(last -> nowMillis - last.atMillis() >= last.suspectMillis())
                .filter(last -> last.peer().ready() && last.peer().takesCallers())
                .count();
    }

    /**
     * Removes routers that have been silent for too long.
     *
     * @param nowMillis the current time
     * @return dead processes, whose placements no longer count
     */
    public List<ProcessId> expire(long nowMillis) {
        List<ProcessId> dead = new ArrayList<>();
        int before = lastHeartbeats.size();
        for (Iterator<LastHeartbeat> it = lastHeartbeats.values().iterator(); it.hasNext(); ) {
            LastHeartbeat last = it.next();
            long silence = nowMillis - last.atMillis();
            if (silence > last.deadMillis()) {
                dead.add(last.peer().process());
            }
            if (silence > last.forgetMillis()) {
                it.remove();
                addresses.remove(last.peer().peerAddress());
            }
        }
        if (lastHeartbeats.size() < before) {
            weights.retain(lastHeartbeats::containsKey);
        }
        return dead;
    }

    /**
     * Chooses the addresses for callers of a data centre. Routers of that data centre are preferred if it has at least
     * two, because traffic between data centres is expensive and one host alone would be a single point of failure. In
     * a large fleet only {@link EntryRouters} are chosen, and of these the active ones are preferred: a standby router
     * sends heartbeats rarely, so it may be dead unnoticed. While no router is ready, the stopping ones that end last
     * are chosen: without an answer, callers would go on with the ones that end first.
     *
     * @param own this router, or {@code null} if it takes no callers now
     * @param dataCentre the callers' data centre, or {@code null}
     * @param max maximum number of addresses
     * @param nowMillis the current time
     * @return addresses of routers that take callers
     */
    public List<Address> callerAddresses(Peer own, DataCentreId dataCentre, int max, long nowMillis) {
        List<Peer> ready = entryRouters(own, 0, nowMillis);
        if (ready.isEmpty()) {
            return lastToEnd(own, nowMillis).stream()
                    .map(Peer::callerAddress)
                    .limit(max)
                    .toList();
        }
        List<Peer> near = ready.stream()
                .filter(peer -> peer.dataCentre().equals(dataCentre))
                .toList();
        List<Peer> candidates = near.size() >= MIN_CALLER_ADDRESSES ? near : ready;
        List<Peer> active = candidates.stream().filter(Peer::takesCallers).toList();
        return (active.size() >= MIN_CALLER_ADDRESSES ? active : candidates)
                .stream().map(Peer::callerAddress).limit(max).toList();
    }

    /** Returns the stopping routers that end last, this one included. */
    private List<Peer> lastToEnd(Peer own, long nowMillis) {
        List<LastHeartbeat> stopping = new ArrayList<>(stopping(nowMillis));
        if (own != null && own.stopLeftMillis() > 0) {
            stopping.add(new LastHeartbeat(own, nowMillis));
        }
        long longest = stopping.stream()
                .mapToLong(last -> last.stopLeftMillis(nowMillis))
                .max()
                .orElse(0);
        return stopping.stream()
                .filter(last -> last.stopLeftMillis(nowMillis) >= longest - STOP_SPREAD_MILLIS)
                .map(LastHeartbeat::peer)
                .sorted(Comparator.comparing(peer -> peer.process().host()))
                .toList();
    }

    /**
     * Returns the routers that callers are sent to.
     *
     * @param own this router, or {@code null} if it takes no callers now
     * @param spare number of additional routers per data centre, the next ones in order
     * @param nowMillis the current time
     * @return the routers, ordered by host name
     */
    public List<Peer> entryRouters(Peer own, int spare, long nowMillis) {
        List<Peer> ready = new ArrayList<>(alive(nowMillis));
        if (own != null) {
            ready.add(own);
        }
        ready.removeIf(peer -> !peer.ready());
        List<Peer> chosen = new ArrayList<>(EntryRouters.choose(ready, spare, weights));
        chosen.sort(Comparator.comparing(peer -> peer.process().host()));
        return chosen;
    }
}
