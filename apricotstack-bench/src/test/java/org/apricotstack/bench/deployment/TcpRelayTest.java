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
 * Guards against a relay that closes a silenced connection when it drops the first bytes, which made tests of silent
 * connections flaky and able to pass without the behaviour under test. A dropped buffer was released twice, and the
 * error closed the connection. The router then saw a closed connection instead of a silent one, even before the first
 * request if other data was sent first.
 */
class TcpRelayTest {

    private static final String MESSAGE = "ping";

    @Test
    void keepsSilentConnectionsOpenAndServesNewOnes() {
        DisposableServer echo = TcpServer.create()
                .host("127.0.0.1")
                .port(0)
                .handle((in, out) -> out.send(in.receive().retain(), buffer -> true))
                .bindNow();
        try (TcpRelay relay = new TcpRelay(new Address("127.0.0.1", echo.port()))) {
            Connection silenced = connect(relay);
            assertThat(sendAndReceive(silenced)).isEqualTo(MESSAGE);
            assertThat(relay.silenceOpenConnections()).isEqualTo(1);

            send(silenced);
            LocalDeployment.await("the first message is dropped", () -> relay.droppedBytes() == MESSAGE.length());
            send(silenced);
            LocalDeployment.await("the second message is dropped", () -> relay.droppedBytes() == 2 * MESSAGE.length());

            Connection fresh = connect(relay);
            assertThat(sendAndReceive(fresh)).isEqualTo(MESSAGE);
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

    private static void send(Connection connection) {
        connection.outbound().sendString(Mono.just(MESSAGE)).then().block();
    }

    private static String sendAndReceive(Connection connection) {
        send(connection);
        return connection
                .inbound()
                .receive()
                .asString(StandardCharsets.US_ASCII)
                .blockFirst();
    }
}
