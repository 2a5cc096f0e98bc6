package org.apricotstack.serving.gossip;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.id.Address;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class HeartbeatPortTest {

    private static final Address ANY = new Address("127.0.0.1", 0);
    private static final NewsFrame HEARTBEAT = NewsFrame.newBuilder()
            .setHeartbeat(Heartbeat.newBuilder().setHost("host-1"))
            .build();

    private final ServingLoop loop = new ServingLoop(System::nanoTime);

    @AfterEach
    void close() {
        loop.close();
    }

    /**
     * Guards against an error that closes the port after a datagram that is no heartbeat, or after one that was sent
     * to a dead host. Healthy routers would be suspected in turn.
     */
    @Test
    void keepsReceivingAfterMalformedDatagramsAndDeadHosts() throws Exception {
        CompletableFuture<NewsFrame> received = new CompletableFuture<>();
        try (HeartbeatPort sender = new HeartbeatPort(loop, ANY);
                HeartbeatPort receiver = new HeartbeatPort(loop, ANY)) {
            receiver.onFrame((frame, from) -> received.complete(frame));
            sendGarbage(receiver.address());
            sender.send(unusedAddress(), EncodedFrame.of(HEARTBEAT));
            sender.send(receiver.address(), EncodedFrame.of(HEARTBEAT));
            assertThat(received.get(30, TimeUnit.SECONDS)).isEqualTo(HEARTBEAT);
            assertThat(receiver.malformed()).isEqualTo(1);
        }
    }

    @Test
    void namesTheAddressThatCannotBeBound() {
        try (HeartbeatPort first = new HeartbeatPort(loop, ANY)) {
            Address received = first.address();
            assertThatThrownBy(() -> new HeartbeatPort(loop, received))
                    .isInstanceOf(ApricotException.class)
                    .hasMessageContaining(received.toString())
                    .hasMessageContaining("end the program");
        }
    }

    private static void sendGarbage(Address to) throws IOException {
        byte[] garbage = {(byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3};
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.send(new DatagramPacket(garbage, garbage.length, new InetSocketAddress(to.ip(), to.port())));
        }
    }

    /** Returns an address at which nobody listens any more, as its socket was closed. */
    private static Address unusedAddress() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }
}
