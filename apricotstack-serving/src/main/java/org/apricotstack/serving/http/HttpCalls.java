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

/** Small calls with whole answers, to the platform and to what upstreams offer beside their service. */
public final class HttpCalls {

    /** Reads only what HTTP itself says, as these answers echo no id and carry no seal. */
    private static final UpstreamProtocol PLAIN = new PlainProtocol();

    private final ServingLoop loop;
    private final UpstreamConnections connections;

    /**
     * Creates calls.
     *
     * @param loop the thread
     * @param connections carry them
     */
    public HttpCalls(ServingLoop loop, UpstreamConnections connections) {
        this.loop = loop;
        this.connections = connections;
    }

    /**
     * A whole answer.
     *
     * @param status HTTP status
     * @param headers the headers
     * @param body the body
     */
    public record Response(int status, HttpHeaders headers, byte[] body) {}

    /**
     * Makes a call when subscribed to.
     *
     * @param address where to
     * @param request line and headers
     * @param body the body
     * @param timeoutMillis time for the whole answer, in milliseconds
     * @param fresh whether a new connection is asked for
     * @return the answer, or an {@link ApricotException}
     */
    public Mono<Response> call(Address address, HttpRequest request, byte[] body, long timeoutMillis, boolean fresh) {
        return call(address, request, body, timeoutMillis, fresh, head -> {});
    }

    /**
     * Makes a call when subscribed to.
     *
     * @param address where to
     * @param request line and headers
     * @param body the body
     * @param timeoutMillis time for the whole answer, in milliseconds
     * @param fresh whether a new connection is asked for
     * @param onHead takes status and headers of the answer, whatever becomes of the rest
     * @return the answer, or an {@link ApricotException}
     */
    public Mono<Response> call(
            Address address,
            HttpRequest request,
            byte[] body,
            long timeoutMillis,
            boolean fresh,
            Consumer<HttpResponse> onHead) {
        return Mono.create(sink -> {
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
            sink.onCancel(call::cancel);
        });
    }

    /** Creates the error of a call that failed. */
    private static ApricotException failure(Address address, String what) {
        return new ApricotException(
                ErrorCode.PLATFORM_PROTOCOL, address + " " + what + "; the call is made again by itself.");
    }

    /** Collects an answer. */
    private static final class ResponseCollector implements UpstreamListener {
        private final MonoSink<Response> sink;
        private final Address address;
        private final Consumer<HttpResponse> onHead;
        private final ByteBuf body = Unpooled.buffer();
        private int status;
        private HttpHeaders headers;
        private ScheduledFuture<?> timeout;

        /** Creates a taker. */
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

        /** Expects nothing more. */
        private void stopTimeout() {
            if (timeout != null) {
                timeout.cancel(false);
            }
        }
    }
}
