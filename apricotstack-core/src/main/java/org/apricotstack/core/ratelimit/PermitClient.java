package org.apricotstack.core.ratelimit;

import java.util.function.Consumer;

import org.apricotstack.core.id.UpstreamId;

/** Asks the router that keeps the limit of an upstream for permits. */
public interface PermitClient {

    /**
     * Asks for permits.
     *
     * @param upstream the limited upstream
     * @param limit its limit as this router knows it
     * @param wanted permits that can be used soon
     * @param then takes the answer, at once or a little later; {@code null} if there is none
     */
    void ask(UpstreamId upstream, RateLimit limit, int wanted, Consumer<PermitGrant> callback);

    /**
     * Tells of requests that were sent without a permit, as they could not be left out.
     *
     * @param upstream the limited upstream
     * @param limit its limit as this router knows it
     * @param requests how many
     */
    void charge(UpstreamId upstream, RateLimit limit, int requests);
}
