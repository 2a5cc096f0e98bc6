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
 * Maps failed calls to upstreams to refusals.
 *
 * <p>A request was certainly not run only if the connection was never established, or if the upstream states so. A
 * connection that is lost later proves nothing, whether any byte of the response was received or not.
 */
final class UpstreamFailures {

    private UpstreamFailures() {}

    /** Maps an error of the HTTP library to a refusal. */
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

    /** Returns the refusal that the upstream sent without running the request, or {@code null}. */
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
