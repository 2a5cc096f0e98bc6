package org.apricotstack.core.replication;

import org.apricotstack.core.id.HostId;

/**
 * Decides from which peer to fetch a newer version: one fetch at a time, from a peer that reported a higher version.
 *
 * <p>Without this limit, a host to which eight peers report a new version at the same time would fetch it eight times.
 * A failed fetch is dropped, and the next digest of any peer starts another.
 */
public final class FetchPlanner {

    private HostId fetchingFrom;
    private HostId bestPeer;
    private long bestVersion;

    /**
     * Records the version that a peer reported.
     *
     * @param peer the peer
     * @param peerVersion its version
     * @param ownVersion the version in force here
     * @return the peer to fetch from now, or {@code null}
     */
    public synchronized HostId versionReported(HostId peer, long peerVersion, long ownVersion) {
        if (peerVersion > bestVersion) {
            bestVersion = peerVersion;
            bestPeer = peer;
        }
        if (fetchingFrom != null || peerVersion <= ownVersion) {
            return null;
        }
        fetchingFrom = peer;
        return peer;
    }

    /**
     * Records the end of a fetch.
     *
     * @param peer the peer that was asked
     * @param succeeded whether it answered
     * @param ownVersion the version in force now
     * @return the peer to fetch from next, or {@code null}
     */
    public synchronized HostId fetchEnded(HostId peer, boolean succeeded, long ownVersion) {
        fetchingFrom = null;
        if (!succeeded && peer.equals(bestPeer)) {
            bestVersion = 0;
            bestPeer = null;
        }
        if (bestPeer == null || bestVersion <= ownVersion || bestPeer.equals(peer)) {
            return null;
        }
        fetchingFrom = bestPeer;
        return bestPeer;
    }
}
