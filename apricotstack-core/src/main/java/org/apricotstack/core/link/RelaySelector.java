package org.apricotstack.core.link;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.peer.Peer;

/**
 * Chooses the router through which a connection to an upstream is opened.
 *
 * <p>Routers of the own data centre go first, as traffic between data centres is expensive. Among equals they are used
 * in turn, so that no router bears the detours of all others. A router that has lost its own links says so
 * and is left out for a while.
 */
public final class RelaySelector {

    /** Time for which a router that could not help is left out, in milliseconds. */
    private static final long LEFT_OUT_MILLIS = 1_000;

    /** Maximum number of routers that are tried for one connection. */
    private static final int MAX_CANDIDATES = 4;

    private final DataCentreId own;
    private final Map<Address, Long> leftOutUntil = new HashMap<>();
    private final Map<Address, Long> lastTried = new HashMap<>();
    private long tries;

    /**
     * Creates a selector.
     *
     * @param own the data centre of this router
     */
    public RelaySelector(DataCentreId own) {
        this.own = own;
    }

    /**
     * Returns the routers to try, in order.
     *
     * @param alive the routers with recent heartbeats
     * @param nowMillis the current time
     * @return addresses for other routers
     */
    public List<Address> candidates(List<Peer> alive, long nowMillis) {
        List<Peer> usable = new ArrayList<>();
        for (Peer peer : alive) {
            if (peer.ready() && nowMillis >= leftOutUntil.getOrDefault(peer.peerAddress(), Long.MIN_VALUE)) {
                usable.add(peer);
            }
        }
        usable.sort(Comparator.comparing((Peer peer) -> !peer.dataCentre().equals(own))
                .thenComparing(peer -> lastTried.getOrDefault(peer.peerAddress(), 0L))
                .thenComparing(peer -> peer.process().host()));
        List<Address> addresses = usable.stream().map(Peer::peerAddress).toList();
        leftOutUntil.keySet().retainAll(alive.stream().map(Peer::peerAddress).toList());
        lastTried.keySet().retainAll(alive.stream().map(Peer::peerAddress).toList());
        return addresses.subList(0, Math.min(MAX_CANDIDATES, addresses.size()));
    }

    /**
     * Records that a router is tried.
     *
     * @param router its address
     */
    public void tried(Address router) {
        lastTried.put(router, ++tries);
    }

    /**
     * Records that a router does not reach the upstreams either, or was not reached.
     *
     * @param router its address
     * @param nowMillis the current time
     */
    public void leaveOut(Address router, long nowMillis) {
        leftOutUntil.put(router, nowMillis + LEFT_OUT_MILLIS);
    }
}
