package org.apricotstack.serving.http;

import java.util.concurrent.ScheduledFuture;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.upstream.FailureKind;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * HTTP calls with buffered responses, to the platform and to the control endpoints of upstreams.
 *
 * <p>The calls have no id, so that on a kept connection a second response to an earlier request cannot be told from the
 * one to the call. Calls to servers that may send such responses require a new connection.
 */
public final class HttpCalls {

    /** Largest body of a response, in bytes; a page of the platform's documents has about a megabyte. */
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

    /** Parses only standard HTTP headers, as these responses have neither a request id nor a seal. */
    private static final UpstreamProtocol PLAIN = new PlainProtocol();

    private final ServingLoop loop;
    private final UpstreamConnections connections;

    /**
     * Creates a client.
     *
     * @param loop the event loop
     * @param connections the connections to use
     */
    public HttpCalls(ServingLoop loop, UpstreamConnections connections) {
        this.loop = loop;
        this.connections = connections;
    }

    /**
     * A complete response.
     *
     * @param status HTTP status
     * @param headers the headers
     * @param body the body
     */
    public record Response(int status, HttpHeaders headers, byte[] body) {}

    /**
     * Creates a call that is sent on subscription.
     *
     * @param address the address of the server
     * @param request request line and headers
     * @param body the body
     * @param timeoutMillis time limit for the complete response, in milliseconds
     * @param fresh whether a new connection is required
     * @return the response, or an {@link ApricotException}
     */
    public Mono<Response> call(Address address, HttpRequest request, byte[] body, long timeoutMillis, boolean fresh) {
        return call(address, request, body, CallLimits.total(timeoutMillis), fresh, head -> {});
    }

    /**
     * Creates a call that is sent on subscription.
     *
     * @param address the address of the server
     * @param request request line and headers
     * @param body the body
     * @param limits time limits
     * @param fresh whether a new connection is required
     * @param onHead called with status and headers of the response, even if the rest fails
     * @return the response, or an {@link ApricotException}
     */
    public Mono<Response> call(
            Address address,
            HttpRequest request,
            byte[] body,
            CallLimits limits,
            boolean fresh,
            Consumer<HttpResponse> onHead) {
        return Mono.create(sink -> {
            OutcomeSubscriber<?> subscriber = sink.contextView().getOrDefault(OutcomeSubscriber.class, null);
            ResponseCollector collector = new ResponseCollector(loop, sink, subscriber, address, limits, onHead);
            UpstreamCall call =
                    connections.send(address, PLAIN, null, request, Unpooled.wrappedBuffer(body), fresh, collector);
            collector.start(call);
            sink.onCancel(call::cancel);
        });
    }

    /** Creates the exception for a failed call. */
    private static ApricotException failure(Address address, String what) {
        return new ApricotException(
                ErrorCode.PLATFORM_PROTOCOL, address + " " + what + "; the call is retried automatically.");
    }

    /** Collects a response. */
    private static final class ResponseCollector implements UpstreamListener {
        private final ServingLoop loop;
        private final MonoSink<Response> sink;
        private final OutcomeSubscriber<?> subscriber;
        private final Address address;
        private final CallLimits limits;
        private final long startedMillis;
        private final Consumer<HttpResponse> onHead;
        private final ByteBuf body = Unpooled.buffer();
        private int status;
        private HttpHeaders headers;
        private ScheduledFuture<?> timeout;
        private UpstreamCall call;
        private long lastArrivalMillis;

        /** Creates a collector; the subscriber is {@code null} if nothing else notices a lost outcome. */
        private ResponseCollector(
                ServingLoop loop,
                MonoSink<Response> sink,
                OutcomeSubscriber<?> subscriber,
                Address address,
                CallLimits limits,
                Consumer<HttpResponse> onHead) {
            this.loop = loop;
            this.sink = sink;
            this.subscriber = subscriber;
            this.address = address;
            this.limits = limits;
            this.onHead = onHead;
            this.startedMillis = loop.nowMillis();
            this.lastArrivalMillis = startedMillis;
        }

        /** Starts the time limits. */
        private void start(UpstreamCall started) {
            call = started;
            checkLimits();
        }

        /** Fails the call if a limit has passed, and otherwise checks again when that may be. */
        private void checkLimits() {
            if (call.finished()) {
                return;
            }
            long now = loop.nowMillis();
            long totalLeftMillis = startedMillis + limits.totalMillis() - now;
            long leftMillis = Math.min(totalLeftMillis, lastArrivalMillis + limits.silenceMillis() - now);
            if (subscriber != null) {
                subscriber.stepStarted(Math.max(0, leftMillis));
            }
            if (leftMillis > 0) {
                timeout = loop.schedule(leftMillis, this::checkLimits);
                return;
            }
            call.cancel();
            long limitMillis = totalLeftMillis > 0 ? limits.silenceMillis() : limits.totalMillis();
            sink.error(failure(address, "did not answer in " + limitMillis + " ms"));
        }

        @Override
        public void head(ResponseHead head, HttpResponse raw) {
            lastArrivalMillis = loop.nowMillis();
            status = head.status();
            headers = raw.headers();
            onHead.accept(raw);
        }

        @Override
        public void data(ByteBuf data) {
            lastArrivalMillis = loop.nowMillis();
            if (body.readableBytes() + data.readableBytes() > MAX_BODY_BYTES) {
                call.cancel();
                failed(FailureKind.SPOILED);
                return;
            }
            body.writeBytes(data);
        }

        @Override
        public void end() {
            stopTimeout();
            sink.success(new Response(status, headers, ByteBufUtil.getBytes(body)));
        }

        @Override
        public void failed(FailureKind kind) {
            stopTimeout();
            sink.error(failure(address, "failed: " + kind.code()));
        }

        /** Cancels the timeout. */
        private void stopTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }
    }
}
