package org.apricotstack.core.ratelimit;

import java.util.List;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.routing.Rendezvous;

/**
 * The permit issuer of an upstream, as seen by one router.
 *
 * <p>All connected routers select the same issuer. In a network partition each part has its own issuer, which grants a
 * share of the limit in proportion to the number of routers in that part.
 *
 * @param host the issuer; {@code null} if no router is available
 * @param share share of the active routers that are connected, 0 to 1
 */
public record PermitIssuerSelection(HostId host, double share) {

    /**
     * Selects the issuer.
     *
     * @param upstream the limited upstream
     * @param connected active routers with a recent heartbeat, including this one if it is active
     * @param silent number of other active routers whose heartbeats are missing
     * @return the issuer and its share
     */
    public static PermitIssuerSelection of(UpstreamId upstream, List<HostId> connected, int silent) {
        double share = connected.isEmpty() ? 0 : (double) connected.size() / (connected.size() + silent);
        return new PermitIssuerSelection(Rendezvous.first(upstream.value(), connected), share);
    }

    /**
     * Returns the selection of an issuer that some connected routers do not hear: they use another one.
     *
     * @param oneWayPeers number of connected routers that do not hear it
     * @param connected number of connected routers
     * @return the same issuer with the share of the routers that hear it
     */
    public PermitIssuerSelection withoutOneWayPeers(int oneWayPeers, int connected) {
        return oneWayPeers == 0 ? this : new PermitIssuerSelection(host, share * (connected - oneWayPeers) / connected);
    }
}
