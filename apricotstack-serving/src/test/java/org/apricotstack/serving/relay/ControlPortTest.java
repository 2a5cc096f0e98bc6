package org.apricotstack.serving.relay;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.core.route.CallerLimits;
import org.apricotstack.serving.gossip.GossipHandler;
import org.apricotstack.serving.gossip.GossipServer;
import org.apricotstack.serving.gossip.InboundGossipStream;
import org.apricotstack.serving.http.ListeningPort;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.http.TcpConnectionOpener;
import org.apricotstack.serving.observe.ConnectionCloseCause;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/** Limits of the connections that other routers open. */
class ControlPortTest {

    private static final int WAIT_TIMEOUT_MILLIS = 15_000;
    private static final long READ_BEFORE_CLOSE_MILLIS = 20;
    private static final int MAX_CONNECTIONS = 2;
    private static final long LONGER_THAN_PAUSE_MILLIS = 3_001;

    /** Time without use after which a connection may make room for a new one. */
    private static final long IDLE_MILLIS = 15_001;

    private static final CallerLimits LIMITS = ListeningPort.CONTROL.limits(CallerLimits.DEFAULT);
    private static final NewsFrame HEARTBEAT = NewsFrame.newBuilder()
            .setHeartbeat(Heartbeat.newBuilder().setHost("peer"))
            .build();

    private volatile long nowMillis;
    private final List<Socket> sockets = new ArrayList<>();
    private final List<ConnectionCloseCause> causes = new CopyOnWriteArrayList<>();
    private final ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final ServingLoop loop = new ServingLoop(() -> nowMillis * 1_000_000);
    private final RelayServer relays = new RelayServer(
            loop, new TcpConnectionOpener(loop), new LinkTable(), address -> true, ip -> true, MAX_CONNECTIONS);
    private final GossipServer server = new GossipServer(
            loop, new Address("127.0.0.1", 0), new NoDocuments(), relays, MAX_CONNECTIONS, causes::add);

    ControlPortTest() throws IOException {}

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        upstream.close();
        server.close();
        loop.close();
    }

    /** Knows no documents. */
    private static final class NoDocuments implements GossipHandler {
        @Override
        public void frame(NewsFrame frame, InboundGossipStream stream) {
            // Only the replies of the server matter here.
        }

        @Override
        public NewsReply documents(DocumentRequest request) {
            return NewsReply.getDefaultInstance();
        }

        @Override
        public void reply(NewsReply reply, String source) {
            throw new AssertionError("A server asks for nothing.");
        }
    }

    private Socket connect() throws IOException {
        return waiting(new Socket("127.0.0.1", server.port()));
    }

    private Socket waiting(Socket socket) throws IOException {
        socket.setSoTimeout(WAIT_TIMEOUT_MILLIS);
        sockets.add(socket);
        return socket;
    }

    private static void heartbeat(Socket peer) throws IOException {
        DataOutputStream out = new DataOutputStream(peer.getOutputStream());
        out.writeInt(HEARTBEAT.getSerializedSize());
        HEARTBEAT.writeTo(out);
        assertThat(new DataInputStream(peer.getInputStream()).readInt()).isZero();
    }

    /** Connects and asks for a connection to the upstream. */
    private Socket relayed() throws IOException {
        Socket router = connect();
        byte[] request = new byte[RelayFraming.request(upstreamAddress()).readableBytes()];
        RelayFraming.request(upstreamAddress()).readBytes(request);
        router.getOutputStream().write(request);
        assertThat(router.getInputStream().read()).isEqualTo(RelayReply.CONNECTED.ordinal());
        return router;
    }

    private Address upstreamAddress() {
        return new Address("127.0.0.1", upstream.getLocalPort());
    }

    private static void pass(Socket from, Socket to) throws IOException {
        from.getOutputStream().write('b');
        assertThat(to.getInputStream().read()).isEqualTo('b');
    }

    private void sweepAfter(long millis) {
        nowMillis += millis;
        CompletableFuture.runAsync(server::closeTimedOut, loop.loop()).join();
    }

    private static boolean isClosed(Socket socket) throws IOException {
        return socket.getInputStream().read() < 0;
    }

    /** Connections that send nothing whole held file descriptors for good. */
    @Test
    void closesAConnectionWhoseFirstMessageTricklesIn() throws IOException {
        Socket peer = connect();
        peer.getOutputStream().write(0);
        Socket other = connect();
        heartbeat(other);
        sweepAfter(LIMITS.headerTimeoutMillis());
        peer.getOutputStream().write(0);
        heartbeat(other);
        sweepAfter(1);
        assertThat(isClosed(peer)).isTrue();
        assertThat(causes).containsExactly(ConnectionCloseCause.HEADER_TIMEOUT);
        heartbeat(other);
    }

    @Test
    void closesAStreamAfterItsIdleTimeOnly() throws IOException {
        Socket idle = connect();
        heartbeat(idle);
        Socket used = connect();
        heartbeat(used);
        sweepAfter(LIMITS.idleTimeoutMillis());
        heartbeat(used);
        sweepAfter(1);
        assertThat(isClosed(idle)).isTrue();
        assertThat(causes).containsExactly(ConnectionCloseCause.IDLE_TIMEOUT);
        heartbeat(used);
    }

    @Test
    void closesTheLongestIdleStreamForANewOne() throws IOException {
        Socket first = connect();
        heartbeat(first);
        Socket second = connect();
        heartbeat(second);
        heartbeat(first);
        nowMillis += IDLE_MILLIS;
        heartbeat(connect());
        assertThat(isClosed(second)).isTrue();
        assertThat(causes).containsExactly(ConnectionCloseCause.IDLE_AT_MAXIMUM);
        heartbeat(first);
    }

    /** In a fleet with more active routers than connections, each new stream would end another one. */
    @Test
    void closesNoStreamOfARouterInTouchForANewOne() throws IOException {
        List<Socket> streams = new ArrayList<>();
        while (streams.size() < MAX_CONNECTIONS) {
            Socket stream = connect();
            heartbeat(stream);
            streams.add(stream);
        }
        assertThat(isClosed(connect())).isTrue();
        assertThat(causes).containsExactly(ConnectionCloseCause.TOO_MANY_CONNECTIONS);
        for (Socket stream : streams) {
            heartbeat(stream);
        }
    }

    /** Connections that send nothing would end the streams of all routers. */
    @Test
    void closesAConnectionWithoutAMessageBeforeAStreamThatIsIdleForLonger() throws IOException {
        Socket stream = connect();
        heartbeat(stream);
        Socket silent = connect();
        heartbeat(connect());
        assertThat(isClosed(silent)).isTrue();
        heartbeat(stream);
    }

    @Test
    void closesNoRelayedConnectionWithARequestInFlight() throws IOException {
        Socket relay = relayed();
        Socket replica = waiting(upstream.accept());
        pass(relay, replica);
        Socket stream = connect();
        heartbeat(stream);
        nowMillis += IDLE_MILLIS;
        Socket newStream = connect();
        heartbeat(newStream);
        assertThat(isClosed(stream)).isTrue();
        sweepAfter(LIMITS.idleTimeoutMillis() + 1);
        assertThat(isClosed(newStream)).isTrue();
        pass(replica, relay);
        assertThat(causes).containsExactly(ConnectionCloseCause.IDLE_AT_MAXIMUM, ConnectionCloseCause.IDLE_TIMEOUT);
    }

    /** Guards against a stop that takes a late response to an earlier request for the one that is due. */
    @Test
    void keepsARelayedConnectionWhoseRequestHasNoResponseWhenARouterStops() throws IOException {
        Socket relay = relayed();
        Socket replica = waiting(upstream.accept());
        pass(relay, replica);
        pass(replica, relay);
        nowMillis += LONGER_THAN_PAUSE_MILLIS;
        int open = CompletableFuture.supplyAsync(relays::drain, loop::execute).join();
        assertThat(open).isEqualTo(1);
    }

    @Test
    void refusesANewConnectionWhileAllAreInUse() throws IOException {
        for (int i = 0; i < MAX_CONNECTIONS; i++) {
            Socket relay = relayed();
            pass(relay, waiting(upstream.accept()));
        }
        assertThat(isClosed(connect())).isTrue();
        assertThat(causes).containsExactly(ConnectionCloseCause.TOO_MANY_CONNECTIONS);
    }

    @Test
    void keepsARelayedConnectionOnWhichARequestWasRelayedInItsIdleTime() throws IOException {
        Socket relay = relayed();
        Socket replica = waiting(upstream.accept());
        sweepAfter(LIMITS.idleTimeoutMillis());
        awaitChecked();
        pass(relay, replica);
        pass(replica, relay);
        sweepAfter(LIMITS.idleTimeoutMillis());
        awaitChecked();
        pass(relay, replica);
        assertThat(causes).isEmpty();
    }

    /** Waits until connections that were found idle before have been closed or kept. */
    private void awaitChecked() {
        CountDownLatch checked = new CountDownLatch(1);
        loop.schedule(READ_BEFORE_CLOSE_MILLIS, checked::countDown);
        await(checked);
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void closesARelayedConnectionWithoutARequestAfterItsIdleTime() throws IOException {
        Socket relay = relayed();
        Socket replica = waiting(upstream.accept());
        pass(relay, replica);
        pass(replica, relay);
        sweepAfter(LIMITS.idleTimeoutMillis() + 1);
        assertThat(isClosed(relay)).isTrue();
        assertThat(isClosed(replica)).isTrue();
    }
}
