package org.apricotstack.core.replication;

/**
 * Decides when a process that started with an empty memory may serve under the configuration that it has.
 *
 * <p>A platform may be stale. If a fresh process took the first version that the platform hands out, requests would
 * meet a configuration that the rest of the fleet left behind long ago: an accepted change would revert at this
 * host. The gate stays shut until a peer that serves has told its version and the process has reached it. If no
 * peer serves, as when all hosts start at once, it opens after a time in which all known peers were asked.
 */
public final class StartGate {

    private long highestPeerVersion;
    private boolean servingPeerSeen;
    private boolean waitEnded;
    private boolean open;

    /**
     * Notes the version of a peer that serves.
     *
     * @param version its version
     */
    public synchronized void recordServingPeer(long version) {
        servingPeerSeen = true;
        highestPeerVersion = Math.max(highestPeerVersion, version);
    }

    /** Notes that the time for peers to answer is over. */
    public synchronized void endWait() {
        waitEnded = true;
    }

    /**
     * Tells whether the process may serve; once open, the gate stays open.
     *
     * @param versionInForce the version that the process has, 0 if none
     * @return whether it may serve
     */
    public synchronized boolean isOpen(long versionInForce) {
        if (!open) {
            boolean reached = versionInForce > 0 && versionInForce >= highestPeerVersion;
            open = reached && (servingPeerSeen || waitEnded);
        }
        return open;
    }
}
