package org.apricotstack.core.peer;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.HostId;

/**
 * Decides whether a router of a large fleet watches the platform itself or receives changes from another router of its
 * data centre.
 *
 * <p>Calls to the platform cost money, and all routers share one rate limit. A router watches the platform unless a
 * router that precedes it in the order of its data centre recently reported that it does so successfully. Without an
 * election, this leaves one reader per data centre, the router with the most capacity. If the reader falls silent or
 * the platform rejects its calls, all others watch the platform until the next one in the order has reported that it
 * does.
 */
public final class PlatformReaderSelection {

    /** Time between two heartbeats of a reader to its data centre, in milliseconds. */
    public static final long HEARTBEAT_MILLIS = 900;

    /**
     * Time for which a reader's heartbeat is valid, in milliseconds: one heartbeat may be lost. In the fleets that need
     * readers, a change must be in force within 3 s of its publication; this time, the check interval and one call
     * together stay below that.
     */
    public static final long VALID_MILLIS = 2_000;

    private final EntryWeights weights = new EntryWeights();
    private final Map<HostId, ReaderHeartbeat> readers = new HashMap<>();

    /**
     * The last heartbeat of a reader.
     *
     * @param peer the reader
     * @param atMillis the time of arrival
     */
    private record ReaderHeartbeat(Peer peer, long atMillis) {}

    /**
     * Records a heartbeat.
     *
     * @param peer the sender
     * @param reads whether the sender watches the platform and gets answers
     * @param nowMillis the current time
     */
    public void recordHeartbeat(Peer peer, boolean reads, long nowMillis) {
        HostId host = peer.process().host();
        if (reads) {
            readers.put(host, new ReaderHeartbeat(peer, nowMillis));
        } else {
            readers.remove(host);
        }
    }

    /**
     * Tells whether a router has to watch the platform itself.
     *
     * @param own the router
     * @param nowMillis the current time
     * @return whether no preceding router of its data centre recently reported that it is a reader
     */
    public boolean mustReadPlatform(Peer own, long nowMillis) {
        for (ReaderHeartbeat reader : readers.values()) {
            if (nowMillis - reader.atMillis() < VALID_MILLIS && precedes(reader.peer(), own)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Tells whether a router receives the platform's changes from another router.
     *
     * @param own the router
     * @param peer the other router
     * @param nowMillis the current time
     * @return whether the other router is a reader that precedes it in its data centre
     */
    public boolean reliesOn(Peer own, Peer peer, long nowMillis) {
        ReaderHeartbeat reader = readers.get(peer.process().host());
        return reader != null && nowMillis - reader.atMillis() < VALID_MILLIS && precedes(peer, own);
    }

    /** Tells whether a router precedes another router of the same data centre. */
    private boolean precedes(Peer one, Peer other) {
        return one.dataCentre().equals(other.dataCentre()) && EntryRouters.compare(one, other, weights) < 0;
    }
}
