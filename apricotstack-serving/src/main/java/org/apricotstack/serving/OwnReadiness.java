package org.apricotstack.serving;

import java.util.function.BooleanSupplier;

import org.apricotstack.core.stop.StopPolicy;
import org.apricotstack.serving.gossip.Readiness;
import org.apricotstack.serving.http.ServingLoop;

/**
 * What a router tells the others of its state.
 *
 * @param isReady tells whether it serves callers
 * @param stopPolicy knows how long it takes requests while stopping
 * @param loop the event loop
 */
record OwnReadiness(BooleanSupplier isReady, StopPolicy stopPolicy, ServingLoop loop) implements Readiness {

    @Override
    public boolean ready() {
        return isReady.getAsBoolean();
    }

    @Override
    public long stopLeftMillis() {
        return stopPolicy.timeline().takesRequestsMillis(loop.nowMillis());
    }
}
