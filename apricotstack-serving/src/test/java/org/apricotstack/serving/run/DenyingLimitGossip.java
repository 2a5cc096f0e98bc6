package org.apricotstack.serving.run;

import java.util.function.Consumer;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.PermitGrant;
import org.apricotstack.core.ratelimit.RateLimit;

/** A keeper that grants no permits, and counts what it is told. */
final class DenyingLimitGossip implements LimitGossip {

    static final long AGAIN_MILLIS = 900;

    int asked;
    int charged;

    @Override
    public void limitChanged(UpstreamId upstream, LimitChange change, RateLimit limit) {
        // Nobody else is to be told.
    }

    @Override
    public String permitIssuerOf(UpstreamId upstream) {
        return "keeper";
    }

    @Override
    public void ask(UpstreamId upstream, RateLimit limit, int wanted, Consumer<PermitGrant> then) {
        asked++;
        then.accept(new PermitGrant(0, AGAIN_MILLIS));
    }

    @Override
    public void charge(UpstreamId upstream, RateLimit limit, int requests) {
        charged += requests;
    }
}
