package org.apricotstack.serving;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.http.TcpConnectionOpener;
import org.apricotstack.serving.http.UpstreamConnections;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import reactor.core.scheduler.Schedulers;

import static org.assertj.core.api.Assertions.assertThat;

class RouterAddressGuardTest {

    private static final Address ROUTER = new Address("127.0.0.1", 1);

    private final ServingLoop loop = new ServingLoop(System::nanoTime);
    private final RouterAddressGuard guard =
            new RouterAddressGuard(loop, new TcpConnectionOpener(loop), ROUTER::equals);
    private final UpstreamConnections connections =
            new UpstreamConnections(loop, guard, new LinkTable(), response -> {});

    @AfterEach
    void stop() {
        loop.close();
    }

    /** Guards against requests that are suspected as an entry has the address of a router. */
    @Test
    void doesNotReportAGuardedAddressAsARefusedConnection() {
        Boolean refused = connections
                .isConnectionRefused(ROUTER)
                .subscribeOn(Schedulers.fromExecutor(loop::execute))
                .block();
        assertThat(refused).isFalse();
        assertThat(guard.refused()).isEqualTo(1);
    }
}
