package org.apricotstack.bench.deployment;

import java.nio.charset.StandardCharsets;

import org.apricotstack.core.id.Address;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.DisposableServer;
import reactor.netty.tcp.TcpClient;
import reactor.netty.tcp.TcpServer;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Symptom: a test of silent connections passes or fails by chance, and passes without what it is to prove.
 *
 * <p>Sequence of events: a connection is to go silent; the first bytes over it are dropped; the relay closes it.
 *
 * <p>Cause: a dropped buffer was freed twice, and that error ended the connection. A router then saw a closed one
 * instead of a silent one, and before the first request if anything else was sent over it first.
 */
class TcpRelayTest {

    private static final String WORD = "ping";

    @Test
    void keepsSilentConnectionsOpenAndServesNewOnes() {
        DisposableServer echo = TcpServer.create()
                .host("127.0.0.1")
                .port(0)
                .handle((in, out) -> out.send(in.receive().retain(), buffer -> true))
                .bindNow();
        try (TcpRelay relay = new TcpRelay(new Address("127.0.0.1", echo.port()))) {
            Connection silenced = connect(relay);
            assertThat(ask(silenced)).isEqualTo(WORD);
            assertThat(relay.silenceOpenConnections()).isEqualTo(1);

            say(silenced);
            LocalDeployment.await("the first word is dropped", () -> relay.droppedBytes() == WORD.length());
            say(silenced);
            LocalDeployment.await("the second word is dropped", () -> relay.droppedBytes() == 2 * WORD.length());

            Connection fresh = connect(relay);
            assertThat(ask(fresh)).isEqualTo(WORD);
            assertThat(silenced.isDisposed()).isFalse();
            silenced.disposeNow();
            fresh.disposeNow();
        } finally {
            echo.disposeNow();
        }
    }

    private static Connection connect(TcpRelay relay) {
        return TcpClient.create().host("127.0.0.1").port(relay.address().port()).connectNow();
    }

    private static void say(Connection connection) {
        connection.outbound().sendString(Mono.just(WORD)).then().block();
    }

    private static String ask(Connection connection) {
        say(connection);
        return connection
                .inbound()
                .receive()
                .asString(StandardCharsets.US_ASCII)
                .blockFirst();
    }
}
