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

/**
 * The other routers and when each was last heard.
 *
 * <p>A router that is silent is not named to callers, but its placements are kept for a longer time: its requests
 * may still run at the engines while it is only cut off from here.
 */
public final class PeerTable {

    /** Least silence after which a router is not named to callers, in milliseconds: three beats of a small fleet. */
    public static final long SUSPECT_MILLIS = 1_600;

    /** Heartbeats that may be missing before a router that sends them seldom is not named. */
    private static final double SUSPECT_HEARTBEATS = 2.6;

    /** Silence after which a router's placements are taken off, in milliseconds. */
    public static final long DEAD_MILLIS = 4_000;

    /**
     * Least silence after which its address is no longer tried, in milliseconds; longer than any usual outage. One that
     * sends heartbeats more seldom is kept until some of them are missing.
     */
    public static final long FORGET_MILLIS = 120_000;

    /** Routers that callers are told at least, if there are so many: one alone would be a single point of failure. */
    private static final int MIN_CALLER_ADDRESSES = 2;

    private final Map<HostId, LastHeartbeat> lastHeartbeats = new HashMap<>();
    private final Set<Address> addresses = new HashSet<>();
    private final EntryWeights weights = new EntryWeights();

    /**
     * A router's last heartbeat and its time.
     *
     * @param peer what it said
     * @param atMillis when
     */
    private record LastHeartbeat(Peer peer, long atMillis) {

        /** Returns the silence after which it is not named to callers, in milliseconds. */
        private long suspectMillis() {
            return Math.max(SUSPECT_MILLIS, (long) (SUSPECT_HEARTBEATS * peer.nextHeartbeatMillis()));
        }

        /** Returns the silence after which its address is no longer tried, in milliseconds. */
        private long forgetMillis() {
            return Math.max(FORGET_MILLIS, suspectMillis());
        }

        /** Returns the silence after which its placements are taken off, in milliseconds. */
        private long deadMillis() {
            return Math.max(DEAD_MILLIS, suspectMillis());
        }
    }

    /**
     * Takes a heartbeat in. Incarnations are not compared: they come from the time of day, which can jump back between
     * two starts, and only one process runs on a host.
     *
     * @param peer what it says
     * @param nowMillis the time
     * @return the process that ran on that host before, if it is another one; else {@code null}
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
     * Notes that a connection to a router ended: it is suspected until its next heartbeat.
     *
     * @param peerAddress where the connection led
     * @param nowMillis the time
     */
    public void connectionLost(Address peerAddress, long nowMillis) {
        lastHeartbeats.replaceAll((host, last) -> last.peer().peerAddress().equals(peerAddress)
                ? new LastHeartbeat(last.peer(), Math.min(last.atMillis(), nowMillis - last.suspectMillis()))
                : last);
    }

    /**
     * Takes in that another router suspects one that this router hears seldom. One that takes callers is heard often,
     * and one that was heard just now lives; of these the own ears are believed.
     *
     * @param host the host that is silent there
     * @param nowMillis the time
     */
    public void reportedSilent(HostId host, long nowMillis) {
        lastHeartbeats.computeIfPresent(
                host,
                (same, last) -> last.peer().takesCallers() || nowMillis - last.atMillis() < SUSPECT_MILLIS
                        ? last
                        : new LastHeartbeat(last.peer(), Math.min(last.atMillis(), nowMillis - last.suspectMillis())));
    }

    /**
     * Returns hosts whose routers were heard before and are suspected now.
     *
     * @param max hosts at the most
     * @param nowMillis the time
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
     * Adds an address at which a router may be, from the settings or from a peer.
     *
     * @param address the address
     */
    public void addAddress(Address address) {
        addresses.add(address);
    }

    /**
     * Returns the addresses to connect to.
     *
     * @return the addresses; changes with this table
     */
    public Set<Address> addresses() {
        return Collections.unmodifiableSet(addresses);
    }

    /**
     * Returns the routers heard of lately.
     *
     * @param nowMillis the time
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
     * Returns where a router takes other routers.
     *
     * @param host its host
     * @return the address, or {@code null} if it was not heard
     */
    public Address addressOf(HostId host) {
        LastHeartbeat last = lastHeartbeats.get(host);
        return last == null ? null : last.peer().peerAddress();
    }

    /**
     * Counts the routers that decided on requests when they were last heard, and are suspected now; those that were
     * about to stop are not among them.
     *
     * @param nowMillis the time
     * @return routers
     */
    public int silentEntryRouterCount(long nowMillis) {
        return (int) lastHeartbeats.values().stream()
                .filter(last -> nowMillis - last.atMillis() >= last.suspectMillis())
                .filter(last -> last.peer().ready() && last.peer().takesCallers())
                .count();
    }

    /**
     * Forgets routers that have been silent for long.
     *
     * @param nowMillis the time
     * @return processes whose placements no longer count
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
     * Chooses the addresses that callers of a data centre are told: those of their own data centre while two or more
     * are there, since bytes between data centres are dear and one host alone would be a single point of failure. In a
     * large fleet only the {@link EntryRouters} of them are told, and of those the ones that said that they decide on
     * requests: one that stands by is heard seldom, and may be gone.
     *
     * @param own this router, or {@code null} if it takes no callers now
     * @param dataCentre the callers' data centre, or {@code null}
     * @param max addresses at the most
     * @param nowMillis the time
     * @return addresses that take callers
     */
    public List<Address> callerAddresses(Peer own, DataCentreId dataCentre, int max, long nowMillis) {
        List<Peer> ready = entryRouters(own, 0, nowMillis);
        List<Peer> near = ready.stream()
                .filter(peer -> peer.dataCentre().equals(dataCentre))
                .toList();
        List<Peer> candidates = near.size() >= MIN_CALLER_ADDRESSES ? near : ready;
        List<Peer> active = candidates.stream().filter(Peer::takesCallers).toList();
        return (active.size() >= MIN_CALLER_ADDRESSES ? active : candidates)
                .stream().map(Peer::callerAddress).limit(max).toList();
    }

    /**
     * Returns the routers that callers are sent to.
     *
     * @param own this router, or {@code null} if it takes no callers now
     * @param spare how many more of each data centre to add, as those that would be next
     * @param nowMillis the time
     * @return the routers in the order of their names
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
