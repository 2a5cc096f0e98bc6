package org.apricotstack.core.ratelimit;

import java.util.function.Consumer;

import org.apricotstack.core.id.UpstreamId;

/** Port: sends permit requests to the permit issuer of an upstream. */
public interface PermitClient {

    /**
     * Requests permits.
     *
     * @param upstream the limited upstream
     * @param limit its limit as known to this router
     * @param wanted number of permits that can be used soon
     * @param callback receives the reply, at once or later; {@code null} if there is none
     */
    void requestPermits(UpstreamId upstream, RateLimit limit, int wanted, Consumer<PermitGrant> callback);

    /**
     * Reports requests that were sent without a permit because they could not be withheld.
     *
     * @param upstream the limited upstream
     * @param limit its limit as known to this router
     * @param requests number of requests
     */
    void charge(UpstreamId upstream, RateLimit limit, int requests);
}
