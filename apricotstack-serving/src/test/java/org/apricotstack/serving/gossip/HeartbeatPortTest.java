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
    private static final NewsFrame BEAT = NewsFrame.newBuilder()
            .setHeartbeat(Heartbeat.newBuilder().setHost("host-1"))
            .build();

    private final ServingLoop loop = new ServingLoop(System::nanoTime);

    @AfterEach
    void close() {
        loop.close();
    }

    /**
     * Symptom: routers are suspected by turns though all are sound. Sequence: something that is no heartbeat arrives at
     * the port, or a host to which a datagram was sent is gone. Cause to be excluded: an error that closes the port.
     */
    @Test
    void goesOnAfterWhatIsNoHeartbeatAndAfterAHostThatIsGone() throws Exception {
        CompletableFuture<NewsFrame> taken = new CompletableFuture<>();
        try (HeartbeatPort sender = new HeartbeatPort(loop, ANY);
                HeartbeatPort receiver = new HeartbeatPort(loop, ANY)) {
            receiver.take((frame, from) -> taken.complete(frame));
            sendGarbage(receiver.address());
            sender.send(addressOfNobody(), EncodedFrame.of(BEAT));
            sender.send(receiver.address(), EncodedFrame.of(BEAT));
            assertThat(taken.get(30, TimeUnit.SECONDS)).isEqualTo(BEAT);
            assertThat(receiver.malformed()).isEqualTo(1);
        }
    }

    @Test
    void saysWhichAddressCannotBeUsed() {
        try (HeartbeatPort first = new HeartbeatPort(loop, ANY)) {
            Address taken = first.address();
            assertThatThrownBy(() -> new HeartbeatPort(loop, taken))
                    .isInstanceOf(ApricotException.class)
                    .hasMessageContaining(taken.toString())
                    .hasMessageContaining("end the program");
        }
    }

    private static void sendGarbage(Address to) throws IOException {
        byte[] garbage = {(byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3};
        try (DatagramSocket socket = new DatagramSocket()) {
            socket.send(new DatagramPacket(garbage, garbage.length, new InetSocketAddress(to.ip(), to.port())));
        }
    }

    /** Returns an address at which nobody listens any more. */
    private static Address addressOfNobody() throws IOException {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }
}
