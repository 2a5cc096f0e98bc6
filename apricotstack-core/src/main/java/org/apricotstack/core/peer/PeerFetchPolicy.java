package org.apricotstack.core.peer;

/**
 * Decides when a router fetches published documents from a peer instead of the platform.
 *
 * <p>This covers the case that the platform rejects this router's calls, or that its watch misses a change, while other
 * routers receive a new configuration. A heartbeat of a peer that has nothing newer does not show that this router is
 * up to date, so only the arrival of the documents ends the state of being behind.
 */
public final class PeerFetchPolicy {

    /** Time for which this router waits for the platform to send what a peer already has, in milliseconds. */
    public static final long PLATFORM_GRACE_MILLIS = 200;

    /** Minimum time between two fetches from peers, in milliseconds. */
    static final long FETCH_INTERVAL_MILLIS = 400;

    private long newestConfiguration;
    private long newestUpstreams;
    private long behindSinceMillis = -1;
    private long lastFetchMillis = Long.MIN_VALUE / 2;

    /**
     * Compares this router with a peer's heartbeat.
     *
     * @param peer the peer's state
     * @param configurationVersion version of the configuration that this router has; 0 if none
     * @param upstreamsRevision revision up to which this router knows the upstreams; 0 if it knows none
     * @param graceMillis time to wait for the platform before asking a peer, in milliseconds
     * @param nowMillis the current time
     * @return whether to fetch from this peer now
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
     * Tells whether the next fetch is allowed.
     *
     * @param nowMillis the current time
     * @return whether the last fetch started long enough ago
     */
    public boolean mayFetch(long nowMillis) {
        return nowMillis - lastFetchMillis >= FETCH_INTERVAL_MILLIS;
    }

    /**
     * Records that a fetch has started.
     *
     * @param nowMillis the current time
     */
    public void fetchStarted(long nowMillis) {
        lastFetchMillis = nowMillis;
    }
}
