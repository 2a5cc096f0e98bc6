package org.apricotstack.core.peer;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.HostId;

/**
 * Decides whether a router of a large fleet follows the platform itself, or hears of changes from another router of its
 * data centre that does.
 *
 * <p>Calls to the platform are paid for, and all routers share their rate. A router follows it unless one that stands
 * before it in the order of its data centre said lately that it does and is answered. So without an election one router
 * of each data centre is left, the strongest; if it falls silent, or the platform turns it away, all others follow by
 * themselves until the next one in the order has told them that it does.
 */
public final class PlatformReaderSelection {

    /** Time between two words of a reader to its data centre, in milliseconds. */
    public static final long HEARTBEAT_MILLIS = 900;

    /**
     * Time for which a reader's word holds, in milliseconds: one of them may be lost. A change is in force within 3 s
     * of its publication in the fleets that need readers; this, the look at it and one call stay below.
     */
    public static final long VALID_MILLIS = 2_000;

    private final EntryWeights weights = new EntryWeights();
    private final Map<HostId, ReaderHeartbeat> readers = new HashMap<>();

    /**
     * What a reader said last.
     *
     * @param peer the reader
     * @param atMillis when
     */
    private record ReaderHeartbeat(Peer peer, long atMillis) {}

    /**
     * Takes a heartbeat in.
     *
     * @param peer who sent it
     * @param reads whether the platform answers the sender, and it follows
     * @param nowMillis the time
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
     * Tells whether a router has to follow the platform itself.
     *
     * @param own the router
     * @param nowMillis the time
     * @return whether no router before it in its data centre said lately that it does
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
     * Tells whether a router relies on another one for what the platform says.
     *
     * @param own the router
     * @param peer the other one
     * @param nowMillis the time
     * @return whether the other one is a reader before it in its data centre
     */
    public boolean reliesOn(Peer own, Peer peer, long nowMillis) {
        ReaderHeartbeat reader = readers.get(peer.process().host());
        return reader != null && nowMillis - reader.atMillis() < VALID_MILLIS && precedes(peer, own);
    }

    /** Tells whether a router stands before another one of the same data centre. */
    private boolean precedes(Peer one, Peer other) {
        return one.dataCentre().equals(other.dataCentre()) && EntryRouters.compare(one, other, weights) < 0;
    }
}
