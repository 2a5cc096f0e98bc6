package org.apricotstack.serving.http;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

class ListeningPortTest {

    /** A share of few sockets is no connection at all, and the router would never be ready. */
    @ParameterizedTest
    @EnumSource(ListeningPort.class)
    void acceptsConnectionsHoweverFewDescriptorsThereAre(ListeningPort port) {
        assertThat(port.maxConnections(1)).isEqualTo(ListeningPort.MIN_CONNECTIONS);
    }
}
