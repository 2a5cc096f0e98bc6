package org.apricotstack.serving.run;

import java.util.function.Consumer;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.PermitGrant;
import org.apricotstack.core.ratelimit.RateLimit;

/** A permit issuer that grants no permits and counts the calls. */
final class DenyingLimitGossip implements LimitGossip {

    static final long RETRY_MILLIS = 900;

    int permitRequests;
    int chargedRequests;

    @Override
    public void limitChanged(UpstreamId upstream, LimitChange change, RateLimit limit) {
        // Limit changes are not reported in these tests.
    }

    @Override
    public void coldChanged(UpstreamId upstream, LimitChange change) {
        // Cold periods are not reported in these tests.
    }

    @Override
    public String permitIssuerOf(UpstreamId upstream) {
        return "keeper";
    }

    @Override
    public void requestPermits(UpstreamId upstream, RateLimit limit, int wanted, Consumer<PermitGrant> then) {
        permitRequests++;
        then.accept(new PermitGrant(0, RETRY_MILLIS));
    }

    @Override
    public void charge(UpstreamId upstream, RateLimit limit, int requests) {
        chargedRequests += requests;
    }
}
