package org.apricotstack.serving.run;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.PermitClient;
import org.apricotstack.core.ratelimit.RateLimit;

/** Tells the other routers of the rate limits that upstreams name, and asks those that keep the limits. */
public interface LimitGossip extends PermitClient {

    /**
     * Tells what an answer changed.
     *
     * @param upstream the upstream that answered
     * @param change what changed
     * @param limit the limit that holds now; of an end the time at which the request was sent that showed it
     */
    void limitChanged(UpstreamId upstream, LimitChange change, RateLimit limit);

    /**
     * Returns the router that keeps the limit of an upstream, as this one sees it.
     *
     * @param upstream the upstream
     * @return the host's name, or {@code null} if there is none
     */
    String permitIssuerOf(UpstreamId upstream);
}
