package org.apricotstack.serving.http;

import io.netty.util.concurrent.Future;
import org.apricotstack.core.id.Address;

/** Opens TCP connections to upstreams and the platform. */
public interface ConnectionOpener {

    /**
     * Opens a connection without handlers.
     *
     * @param address the address to connect to
     * @param timeoutMillis time after which the attempt fails, in milliseconds
     * @return completes on the event loop; may be cancelled
     */
    Future<OpenedConnection> open(Address address, int timeoutMillis);

    /**
     * Returns whether requests may be sent on open connections that lead through another router.
     *
     * @param relay the address of that router for other routers
     * @return {@code false} if it is stopping, or if it has sent no heartbeat recently
     */
    default boolean takesRequests(Address relay) {
        return true;
    }
}
