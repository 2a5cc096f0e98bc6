package org.apricotstack.serving.relay;

import java.util.List;

import io.netty.channel.ConnectTimeoutException;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.core.link.RelaySelector;
import org.apricotstack.serving.http.ServingLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class RoutedConnectionOpenerTest {

    private static final Address UPSTREAM = new Address("10.0.0.1", 8_000);

    private final ServingLoop loop = new ServingLoop(() -> 0);
    private final LinkTable links = new LinkTable();
    private final RoutedConnectionOpener opener = new RoutedConnectionOpener(
            loop,
            (address, timeoutMillis) -> loop.loop().newFailedFuture(new ConnectTimeoutException("too slow")),
            links,
            new RelaySelector(new DataCentreId("east")),
            List::of,
            address -> true);

    @AfterEach
    void close() {
        loop.close();
    }

    /** Guards against a sound upstream that gets no connections since a single one of this router was too slow. */
    @ParameterizedTest
    @ValueSource(ints = {60, 450})
    void takesNoUpstreamForUnreachableOnItsOwnWord(int timeoutMillis) {
        opener.listener(new FailingListener());
        assertThat(loop.loop()
                        .submit(() -> opener.open(UPSTREAM, timeoutMillis))
                        .awaitUninterruptibly()
                        .getNow()
                        .awaitUninterruptibly()
                        .isSuccess())
                .isFalse();
        assertThat(links.isUnreachable(UPSTREAM)).isFalse();
        assertThat(links.isLost(UPSTREAM)).isFalse();
    }

    /** Expects no change of a link. */
    private static final class FailingListener implements LinkListener {

        @Override
        public void lost(Address upstream, Address relay, boolean silent) {
            throw new AssertionError("lost " + upstream);
        }

        @Override
        public void unreachable(Address upstream) {
            throw new AssertionError("unreachable " + upstream);
        }

        @Override
        public void restored(Address upstream) {
            throw new AssertionError("restored " + upstream);
        }
    }
}
