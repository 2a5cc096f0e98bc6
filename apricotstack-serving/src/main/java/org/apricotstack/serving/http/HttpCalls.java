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
        return call(address, request, body, timeoutMillis, fresh, head -> {});
    }

    /**
     * Creates a call that is sent on subscription.
     *
     * @param address the address of the server
     * @param request request line and headers
     * @param body the body
     * @param timeoutMillis time limit for the complete response, in milliseconds
     * @param fresh whether a new connection is required
     * @param onHead called with status and headers of the response, even if the rest fails
     * @return the response, or an {@link ApricotException}
     */
    public Mono<Response> call(
            Address address,
            HttpRequest request,
            byte[] body,
            long timeoutMillis,
            boolean fresh,
            Consumer<HttpResponse> onHead) {
        return Mono.create(sink -> {
            sink.contextView()
                    .<OutcomeSubscriber<?>>getOrEmpty(OutcomeSubscriber.class)
                    .ifPresent(subscriber -> subscriber.stepStarted(timeoutMillis));
            ResponseCollector collector = new ResponseCollector(sink, address, onHead);
            UpstreamCall call =
                    connections.send(address, PLAIN, null, request, Unpooled.wrappedBuffer(body), fresh, collector);
            ScheduledFuture<?> timeout = loop.schedule(timeoutMillis, () -> {
                if (!call.finished()) {
                    call.cancel();
                    sink.error(failure(address, "did not answer in " + timeoutMillis + " ms"));
                }
            });
            collector.timeout = timeout;
            collector.call = call;
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
        private final MonoSink<Response> sink;
        private final Address address;
        private final Consumer<HttpResponse> onHead;
        private final ByteBuf body = Unpooled.buffer();
        private int status;
        private HttpHeaders headers;
        private ScheduledFuture<?> timeout;
        private UpstreamCall call;

        /** Creates a collector. */
        private ResponseCollector(MonoSink<Response> sink, Address address, Consumer<HttpResponse> onHead) {
            this.sink = sink;
            this.address = address;
            this.onHead = onHead;
        }

        @Override
        public void head(ResponseHead head, HttpResponse raw) {
            status = head.status();
            headers = raw.headers();
            onHead.accept(raw);
        }

        @Override
        public void data(ByteBuf data) {
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
