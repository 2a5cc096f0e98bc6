package org.apricotstack.adapters.upstream;

import java.net.ConnectException;

import io.netty.channel.ConnectTimeoutException;
import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.internal.shaded.reactor.pool.PoolAcquireTimeoutException;

/**
 * Says what a failed call to an upstream means.
 *
 * <p>Only a connection that was never made, or the upstream's own word, proves that a request was not run. A
 * connection that breaks later proves nothing, whether a byte of the answer came or not.
 */
final class UpstreamFailures {

    private UpstreamFailures() {}

    /** Turns an error of the HTTP library into a refusal. */
    static RefusedException of(Throwable error) {
        if (error instanceof RefusedException refused) {
            return refused;
        }
        boolean neverConnected = error instanceof ConnectException
                || error instanceof ConnectTimeoutException
                || error instanceof PoolAcquireTimeoutException;
        Refusal refusal = neverConnected
                ? Refusal.notRun(RefusalReason.UPSTREAM_UNREACHABLE, 0)
                : Refusal.unknown(RefusalReason.UPSTREAM_FAILED);
        return refusal.toException();
    }

    /** Returns the refusal that the upstream itself gave before running anything, or {@code null}. */
    static Refusal refusalOf(HttpClientResponse response) {
        if (response.responseHeaders().contains(EngineProtocol.LEAVING)) {
            return Refusal.notRun(RefusalReason.UPSTREAM_LEAVING, 0);
        }
        if (response.responseHeaders().contains(EngineProtocol.NOT_RUN)) {
            return new Refusal(
                    RefusalReason.UPSTREAM_REFUSED,
                    Outcome.NOT_RUN,
                    0,
                    "Status " + response.status().code() + ".");
        }
        return null;
    }
}
