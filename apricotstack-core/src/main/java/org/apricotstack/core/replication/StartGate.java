package org.apricotstack.core.replication;

/**
 * Decides when a newly started process may serve with the configuration that it has.
 *
 * <p>The platform may be stale. If a new process used the first version from the platform, requests might be handled
 * with a configuration that the rest of the fleet has replaced long ago: an accepted change would revert on this host.
 * The gate stays closed until a serving peer has reported its version and the process has reached that version. If no
 * peer serves, as when all hosts start at the same time, the gate opens after a time in which all known peers were
 * asked.
 */
public final class StartGate {

    private long highestPeerVersion;
    private boolean servingPeerSeen;
    private boolean waitEnded;
    private boolean open;

    /**
     * Records the version of a serving peer.
     *
     * @param version its version
     */
    public synchronized void recordServingPeer(long version) {
        servingPeerSeen = true;
        highestPeerVersion = Math.max(highestPeerVersion, version);
    }

    /** Records that the time for peers to answer has ended. */
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
