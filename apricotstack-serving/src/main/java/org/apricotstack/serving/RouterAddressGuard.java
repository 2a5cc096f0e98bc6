package org.apricotstack.serving;

import java.net.NoRouteToHostException;
import java.util.function.Predicate;

import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ConnectionOpener;
import org.apricotstack.serving.http.OpenedConnection;
import org.apricotstack.serving.http.ServingLoop;

/** Opens no connection to an address at which a router listens, so that a request is sent to another upstream. */
final class RouterAddressGuard implements ConnectionOpener {

    private final ServingLoop loop;
    private final ConnectionOpener opener;
    private final Predicate<Address> isRouter;
    private long refused;

    /**
     * Creates a guard.
     *
     * @param loop the event loop
     * @param opener opens the connections to other addresses
     * @param isRouter tells whether a running router listens at an address
     */
    RouterAddressGuard(ServingLoop loop, ConnectionOpener opener, Predicate<Address> isRouter) {
        this.loop = loop;
        this.opener = opener;
        this.isRouter = isRouter;
    }

    @Override
    public boolean takesRequests(Address relay) {
        return opener.takesRequests(relay);
    }

    @Override
    public Future<OpenedConnection> open(Address address, int timeoutMillis) {
        if (!isRouter.test(address)) {
            return opener.open(address, timeoutMillis);
        }
        refused++;
        Promise<OpenedConnection> failed = loop.loop().newPromise();
        // Not a refused connection, which would count as evidence that an upstream crashed.
        NoRouteToHostException failure = new NoRouteToHostException(
                "A router listens at " + address + "; correct the address of the upstream's entry.");
        // The caller is informed after it has received the future, as by a real connection attempt.
        loop.execute(() -> failed.tryFailure(failure));
        return failed;
    }

    /** Returns the number of connections that were not opened. */
    long refused() {
        return refused;
    }
}
