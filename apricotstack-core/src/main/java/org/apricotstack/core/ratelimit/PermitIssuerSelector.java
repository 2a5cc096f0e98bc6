package org.apricotstack.core.ratelimit;

import java.util.List;

import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.routing.Rendezvous;

/**
 * The router that keeps the limit of an upstream, as one router sees it.
 *
 * <p>All routers that hear of each other choose alike. Where some do not, as after a cut, each part has a keeper, which
 * grants as large a share of the limit as the part is of the whole.
 *
 * @param host the keeper; {@code null} if no router can be one
 * @param share share of the routers that are in touch, 0 to 1
 */
public record PermitIssuerSelector(HostId host, double share) {

    /**
     * Chooses the keeper.
     *
     * @param upstream the limited upstream
     * @param connected routers that decide on requests and were heard lately, this one too if it decides
     * @param silent how many others were heard deciding before and are silent now
     * @return the choice
     */
    public static PermitIssuerSelector of(UpstreamId upstream, List<HostId> connected, int silent) {
        double share = connected.isEmpty() ? 0 : (double) connected.size() / (connected.size() + silent);
        return new PermitIssuerSelector(Rendezvous.first(upstream.value(), connected), share);
    }
}
