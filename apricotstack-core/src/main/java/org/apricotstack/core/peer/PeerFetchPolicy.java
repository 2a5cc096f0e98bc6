package org.apricotstack.core.peer;

/**
 * Decides when a router asks a peer for documents that the platform should have told it.
 *
 * <p>What goes wrong without it: the platform turns this router away, or a wait for changes is deaf, while others were
 * told of a new configuration. Peers that know no more than this router say nothing about it, so only a document that
 * arrives ends the state of being behind.
 */
public final class PeerFetchPolicy {

    /** Time for which the platform itself may tell what a peer knows already, in milliseconds. */
    public static final long PLATFORM_GRACE_MILLIS = 200;

    /** Time between two questions, in milliseconds. */
    static final long FETCH_INTERVAL_MILLIS = 400;

    private long newestConfiguration;
    private long newestUpstreams;
    private long behindSinceMillis = -1;
    private long lastFetchMillis = Long.MIN_VALUE / 2;

    /**
     * Takes in what a peer knows.
     *
     * @param peer the peer's heartbeat
     * @param configurationVersion version of the configuration that this router has; 0 if none
     * @param upstreamsRevision revision up to which this router knows the upstreams; 0 if it knows none
     * @param graceMillis time for which the platform itself may tell what a peer knows already, in milliseconds
     * @param nowMillis the time
     * @return whether to ask this peer now
     */
    public boolean shouldFetch(
            Peer peer, long configurationVersion, long upstreamsRevision, long graceMillis, long nowMillis) {
        newestConfiguration = Math.max(newestConfiguration, peer.configurationVersion());
        newestUpstreams = Math.max(newestUpstreams, peer.upstreamsRevision());
        if (configurationVersion >= newestConfiguration && upstreamsRevision >= newestUpstreams) {
            behindSinceMillis = -1;
            return false;
        }
        if (behindSinceMillis < 0) {
            behindSinceMillis = nowMillis;
        }
        boolean peerIsNewer =
                peer.configurationVersion() > configurationVersion || peer.upstreamsRevision() > upstreamsRevision;
        boolean isEmpty = configurationVersion == 0 || upstreamsRevision == 0;
        boolean graceIsOver = isEmpty || nowMillis - behindSinceMillis >= graceMillis;
        return peerIsNewer && graceIsOver && mayFetch(nowMillis);
    }

    /**
     * Tells whether a peer may be asked again.
     *
     * @param nowMillis the time
     * @return whether the last question is long enough ago
     */
    public boolean mayFetch(long nowMillis) {
        return nowMillis - lastFetchMillis >= FETCH_INTERVAL_MILLIS;
    }

    /**
     * Notes that a peer was asked.
     *
     * @param nowMillis the time
     */
    public void fetchStarted(long nowMillis) {
        lastFetchMillis = nowMillis;
    }
}
