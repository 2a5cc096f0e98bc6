package org.apricotstack.core.peer;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import org.apricotstack.core.id.HostId;

/**
 * Decides when, and from which peer, a router fetches a configuration that peers have and it lacks.
 *
 * <p>The next fetch depends on a timer and not on the next heartbeat. While one fetch is unanswered, the next one goes
 * to another peer, so that neither a lost message nor a lost peer costs more than {@link #HEDGE_MILLIS}.
 */
public final class ConfigurationFetchPolicy {

    /**
     * Time for which a router that relies on a reader waits for a router of its own data centre, in milliseconds, as
     * bytes between data centres are expensive.
     */
    public static final long REMOTE_GRACE_MILLIS = 100;

    /** Time after an unanswered fetch until the next one, in milliseconds; each further one waits that much longer. */
    public static final long HEDGE_MILLIS = 150;

    private static final int MAX_HEDGE_STEPS = 8;

    /** Number of fetches from a peer after which it is not asked again until it reports its version anew. */
    private static final int MAX_FETCHES_PER_REPORT = 10;

    private final Map<HostId, Claim> claims = new HashMap<>();
    private long lastFetchMillis;
    private int fetches;

    /**
     * A peer that has a newer configuration.
     *
     * @param peer the peer as it last reported
     * @param local whether it is in the data centre of this router
     * @param sinceMillis when it first reported a newer configuration
     * @param asked number of fetches from it
     */
    private record Claim(Peer peer, boolean local, long sinceMillis, int asked) {

        private long version() {
            return peer.configurationVersion();
        }
    }

    /**
     * Records which configuration a peer has.
     *
     * @param peer the peer's state
     * @param local whether it is in the data centre of this router
     * @param ownVersion version of the configuration that this router has
     * @param nowMillis the current time
     */
    public void recordPeer(Peer peer, boolean local, long ownVersion, long nowMillis) {
        HostId host = peer.process().host();
        if (peer.configurationVersion() <= ownVersion) {
            claims.remove(host);
            return;
        }
        Claim known = claims.get(host);
        claims.put(
                host,
                known == null
                        ? new Claim(peer, local, nowMillis, 0)
                        : new Claim(peer, local, known.sinceMillis(), known.asked()));
    }

    /**
     * Records that a configuration is in force.
     *
     * @param version its version
     */
    public void inForce(long version) {
        claims.values().removeIf(claim -> claim.version() <= version);
        fetches = 0;
    }

    /**
     * Tells whether a peer of the same data centre reported a version before it was in force here.
     *
     * @param version the version
     * @return whether some peer has it or a newer one
     */
    public boolean isKnownLocally(long version) {
        return claims.values().stream().anyMatch(claim -> claim.local() && claim.version() >= version);
    }

    /**
     * Returns when a peer first reported a version, or a newer one, that was not in force here.
     *
     * @param version the version
     * @return the time, in milliseconds; empty if no peer reported it
     */
    public OptionalLong firstReportMillis(long version) {
        return claims.values().stream()
                .filter(claim -> claim.version() >= version)
                .mapToLong(Claim::sinceMillis)
                .min();
    }

    /**
     * Returns when the next fetch is due.
     *
     * @param followsPlatform whether this router watches the platform, which then gets the time to report the change
     * @return the time, in milliseconds; empty if no peer has a newer configuration
     */
    public OptionalLong dueMillis(boolean followsPlatform) {
        OptionalLong first = claims.values().stream()
                .mapToLong(claim -> claim.sinceMillis() + graceMillis(claim, followsPlatform))
                .min();
        if (first.isEmpty() || fetches == 0) {
            return first;
        }
        long hedgeMillis = HEDGE_MILLIS * Math.min(fetches, MAX_HEDGE_STEPS);
        return OptionalLong.of(Math.max(first.getAsLong(), lastFetchMillis + hedgeMillis));
    }

    /** Returns the time after a peer's report before it may be asked. */
    private static long graceMillis(Claim claim, boolean followsPlatform) {
        if (followsPlatform) {
            return PeerFetchPolicy.PLATFORM_GRACE_MILLIS;
        }
        return claim.local() ? 0 : REMOTE_GRACE_MILLIS;
    }

    /**
     * Chooses the peer to ask now: one that was asked less often, with a newer version, of the same data centre.
     *
     * @param nowMillis the current time
     * @return the peer; empty if no peer has a newer configuration
     */
    public Optional<Peer> fetchStarted(long nowMillis) {
        Optional<Claim> chosen = claims.values().stream()
                .min(Comparator.comparingInt(Claim::asked)
                        .thenComparing(Comparator.comparingLong(Claim::version).reversed())
                        .thenComparing(claim -> !claim.local())
                        .thenComparingLong(Claim::sinceMillis)
                        .thenComparing(claim -> claim.peer().process().host()));
        chosen.ifPresent(claim -> {
            lastFetchMillis = nowMillis;
            fetches++;
            HostId host = claim.peer().process().host();
            if (claim.asked() + 1 < MAX_FETCHES_PER_REPORT) {
                claims.put(host, new Claim(claim.peer(), claim.local(), claim.sinceMillis(), claim.asked() + 1));
            } else {
                claims.remove(host);
            }
        });
        return chosen.map(Claim::peer);
    }
}
