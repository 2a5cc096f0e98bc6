package org.apricotstack.serving.http;

import java.net.NoRouteToHostException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.concurrent.Future;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.link.LinkTable;
import org.apricotstack.core.link.ReuseSuspensionTable;
import org.apricotstack.core.upstream.FailureKind;
import reactor.core.publisher.Mono;

/**
 * Pool of connections to upstreams and to the platform.
 *
 * <p>An idle connection may be broken without a sign of it. Non-idempotent requests therefore require a new connection:
 * if an idle one were reset, it would be unknown whether the request ran.
 */
public final class UpstreamConnections {

    /**
     * Connect timeout, in milliseconds. Data centres are a few milliseconds apart; the retransmission of a lost packet
     * takes a second.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 450;

    /**
     * Time within which a host refuses a connection if the process has exited, in milliseconds; a host that takes
     * longer is unreachable or without power.
     */
    private static final int REFUSAL_TIMEOUT_MILLIS = 60;

    /** Time for which an idle connection is kept if the upstream does not specify one, in milliseconds. */
    private static final long DEFAULT_IDLE_MILLIS = 4_000;

    /**
     * Margin subtracted from the upstream's keep-alive time, in milliseconds, so that the upstream does not close a
     * connection while a request is being sent on it.
     */
    private static final long IDLE_MARGIN_MILLIS = 600;

    /** Time in which a response that has arrived is read after its request could not be sent, in milliseconds. */
    private static final long FAILED_WRITE_MILLIS = 500;

    private final ServingLoop loop;
    private final ConnectionOpener opener;
    private final LinkTable links;
    private final UpstreamResponseObserver responseObserver;
    private final ReuseSuspensionTable suspensions = new ReuseSuspensionTable();
    private final Map<Address, Deque<UpstreamConnection>> idle = new HashMap<>();
    private long opened;
    private long lastConnectionNumber;

    /**
     * Creates an empty pool.
     *
     * @param loop the event loop
     * @param opener opens connections
     * @param links tells which idle connections may be reused
     * @param responseObserver receives responses that are not known to belong to a request
     */
    public UpstreamConnections(
            ServingLoop loop, ConnectionOpener opener, LinkTable links, UpstreamResponseObserver responseObserver) {
        this.loop = loop;
        this.opener = opener;
        this.links = links;
        this.responseObserver = responseObserver;
    }

    /**
     * Sends a request.
     *
     * @param address the address of the server
     * @param protocol parses the response
     * @param requestId id that the response must echo, or {@code null} if responses have none
     * @param head request line and headers
     * @param body the body; released after it is sent
     * @param fresh whether a new connection is required
     * @param listener receives the response
     * @return a handle to cancel the request
     */
    public UpstreamCall send(
            Address address,
            UpstreamProtocol protocol,
            String requestId,
            HttpRequest head,
            ByteBuf body,
            boolean fresh,
            UpstreamListener listener) {
        UpstreamCall call = new UpstreamCall(protocol, requestId, head, body, listener);
        UpstreamConnection idleConnection = fresh ? null : takeIdle(address, requestId);
        if (idleConnection == null) {
            connect(address, call);
        } else {
            idleConnection.start(call);
        }
        return call;
    }

    /**
     * Returns an idle connection that may be reused, or {@code null}; none that has carried a request with the same id.
     */
    private UpstreamConnection takeIdle(Address address, String requestId) {
        List<UpstreamConnection> all = List.copyOf(idle.getOrDefault(address, new ArrayDeque<>()));
        for (int i = all.size() - 1; i >= 0; i--) {
            UpstreamConnection connection = all.get(i);
            if (!connection.usable(loop.nowMillis()) || !mayReuse(connection)) {
                removeIdle(connection);
                connection.close();
            } else if (requestId == null || !connection.mayHaveCarried(requestId)) {
                removeIdle(connection);
                return connection;
            }
        }
        return null;
    }

    /** Returns whether the link and the router through which an idle connection leads still take requests. */
    private boolean mayReuse(UpstreamConnection connection) {
        return suspensions.mayReuse(connection.address(), loop.nowMillis())
                && links.mayReuse(connection.address(), connection.isRelayed())
                && (!connection.isRelayed() || opener.takesRequests(connection.relay()));
    }

    /** Opens a connection for a call. */
    private void connect(Address address, UpstreamCall call) {
        opened++;
        Future<OpenedConnection> connecting = opener.open(address, CONNECT_TIMEOUT_MILLIS);
        call.connecting(connecting);
        connecting.addListener((Future<OpenedConnection> done) -> {
            if (!done.isSuccess()) {
                call.fail(FailureKind.NO_CONNECTION);
                return;
            }
            try {
                useConnection(address, done.getNow(), call);
            } catch (RuntimeException | Error e) {
                processingFailed(e);
                done.getNow().channel().close();
                call.fail(FailureKind.CUT);
            }
        });
    }

    /** Sends a call over a new connection, unless it has ended or must not be sent any more. */
    private void useConnection(Address address, OpenedConnection opened, UpstreamCall call) {
        if (call.finished()) {
            opened.channel().close();
        } else if (!call.listener().mayBeSent()) {
            opened.channel().close();
            call.fail(FailureKind.WITHHELD);
        } else {
            start(address, opened, call);
        }
    }

    /** Sends a call over a new connection. */
    private void start(Address address, OpenedConnection opened, UpstreamCall call) {
        UpstreamSocket.configure(opened.channel());
        UpstreamConnection connection = new UpstreamConnection(this, ++lastConnectionNumber, address, opened.relay());
        opened.channel()
                .pipeline()
                .addLast(new HttpRequestEncoder(), connection.decoder(), ReadPacing.counter(), connection);
        if (opened.isRelayed()) {
            call.listener().relayed(opened.relay());
        }
        connection.start(call);
    }

    /**
     * Checks whether a process listens at an address; the host of an exited process refuses a new connection at once.
     *
     * @param address the address
     * @return whether the connection was refused; {@code false} if it was accepted or the attempt timed out
     */
    public Mono<Boolean> isConnectionRefused(Address address) {
        return Mono.create(result -> {
            opened++;
            opener.open(address, REFUSAL_TIMEOUT_MILLIS).addListener((Future<OpenedConnection> done) -> {
                if (done.isSuccess()) {
                    done.getNow().channel().close();
                }
                result.success(!done.isSuccess() && isRefusal(done.cause()));
            });
        });
    }

    /**
     * Returns whether a host reported that no process listens there; any other failure does not show whether the
     * process runs.
     */
    private static boolean isRefusal(Throwable failure) {
        return !(failure instanceof ConnectTimeoutException) && !(failure instanceof NoRouteToHostException);
    }

    /** Reports an exception or error that was thrown while a response was processed. */
    void processingFailed(Throwable failure) {
        loop.taskFailed(failure);
    }

    /** Reports a response whose head violates HTTP. */
    void malformed(MalformedResponse response) {
        responseObserver.malformed(response);
    }

    /** Reports a response that is not known to belong to a request. */
    void unmatched(UnmatchedResponse response) {
        suspensions.unmatched(response.upstream(), loop.nowMillis());
        responseObserver.unmatched(response);
    }

    /**
     * Records that a request was not answered, as a response that is not known to belong to it came instead; further
     * requests to the upstream get new connections for a while.
     *
     * @param upstream address of the upstream
     */
    public void responseLost(Address upstream) {
        suspensions.responseLost(upstream, loop.nowMillis());
    }

    /**
     * Returns the number of upstreams whose connections are not reused, as they sent responses that belong to no
     * request.
     *
     * @return upstreams
     */
    public long reuseSuspended() {
        return suspensions.suspendedCount(loop.nowMillis());
    }

    /** Closes a connection on which a request could not be sent, unless a response that has arrived ends it before. */
    void closeAfterFailedWrite(UpstreamConnection connection) {
        loop.schedule(FAILED_WRITE_MILLIS, connection::close);
    }

    /** Returns the time of the event loop. */
    long nowMillis() {
        return loop.nowMillis();
    }

    /** Adds an idle connection to the pool, or closes it if it would not be reused. */
    void addIdle(UpstreamConnection connection, long keepAliveMillis) {
        if (!suspensions.mayReuse(connection.address(), loop.nowMillis())) {
            connection.close();
            return;
        }
        long idleMillis = keepAliveMillis > 0 ? Math.max(0, keepAliveMillis - IDLE_MARGIN_MILLIS) : DEFAULT_IDLE_MILLIS;
        connection.reusableUntil(loop.nowMillis() + idleMillis);
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .addLast(connection);
    }

    /** Removes a connection that was closed while it was idle. */
    void removeIdle(UpstreamConnection connection) {
        Deque<UpstreamConnection> idleConnections = idle.get(connection.address());
        if (idleConnections != null) {
            idleConnections.remove(connection);
            if (idleConnections.isEmpty()) {
                idle.remove(connection.address());
            }
        }
    }

    /**
     * Closes the idle connections to an address whose process no longer runs; a request sent on one would be reset and
     * count as an attempt.
     *
     * @param address the address
     */
    public void closeIdleTo(Address address) {
        Deque<UpstreamConnection> idleConnections = idle.remove(address);
        if (idleConnections != null) {
            List.copyOf(idleConnections).forEach(UpstreamConnection::close);
        }
    }

    /** Closes idle connections whose keep-alive time has passed. */
    public void closeExpired() {
        long now = loop.nowMillis();
        suspensions.expire(now);
        List<UpstreamConnection> expired = new ArrayList<>();
        for (Deque<UpstreamConnection> idleConnections : idle.values()) {
            for (UpstreamConnection connection : idleConnections) {
                if (!connection.usable(now)) {
                    expired.add(connection);
                }
            }
        }
        expired.forEach(UpstreamConnection::close);
    }

    /**
     * Returns the number of opened connections.
     *
     * @return connections since the start
     */
    public long opened() {
        return opened;
    }
}
