package org.apricotstack.adapters.upstream;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.dispatch.Header;
import org.apricotstack.core.dispatch.Work.PlainCall;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.stream.AttemptEvent;
import org.apricotstack.core.stream.AttemptSignal;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Calls plain services with any method and body. Every status of a service is passed on to the caller. */
final class PlainCalls {

    /** Response headers that concern only the connection to the service and are not forwarded. */
    private static final Set<String> HOP_BY_HOP =
            Set.of("connection", "content-length", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade");

    private final HttpClient pooled;
    private final HttpClient fresh;

    /** Creates a client that uses pooled and new connections. */
    PlainCalls(HttpClient pooled, HttpClient fresh) {
        this.pooled = pooled;
        this.fresh = fresh;
    }

    /** Runs an attempt. */
    Flux<AttemptEvent> run(Assignment assignment) {
        DispatchCommand command = assignment.queued().command();
        PlainCall call = command.work().call();
        Upstream upstream = assignment.upstreams().get(0);
        HttpClient client = command.work().repeatable() ? pooled : fresh;
        return client.headers(headers -> {
                    call.headers().forEach(header -> headers.add(header.name(), header.value()));
                    headers.set(EngineProtocol.ATTEMPT, command.attempt().toString());
                    headers.set("Content-Length", command.work().body().length);
                })
                .request(HttpMethod.valueOf(call.method()))
                .uri(EngineCalls.uri(upstream, call.path()))
                .send((request, outbound) -> outbound.sendObject(
                        Unpooled.wrappedBuffer(command.work().body())))
                .responseConnection((response, connection) -> events(command.attempt(), response, connection));
    }

    /** Reads the events of a response, or the service's refusal. */
    private static Flux<AttemptEvent> events(AttemptId attempt, HttpClientResponse response, Connection connection) {
        Refusal refusal = UpstreamFailures.refusalOf(response);
        if (refusal != null) {
            connection.dispose();
            return Flux.error(refusal.toException());
        }
        String echoed = response.responseHeaders().get(EngineProtocol.ATTEMPT);
        if (echoed != null && !echoed.equals(attempt.toString())) {
            connection.dispose();
            return Flux.error(Refusal.unknown(RefusalReason.ANSWER_CROSSED).toException());
        }
        AtomicLong offset = new AtomicLong();
        AttemptSignal head = new AttemptSignal.Head(response.status().code(), headers(response));
        return Flux.concat(
                        Mono.just(head),
                        connection.inbound().receive().map(buffer -> chunk(buffer, offset)),
                        Mono.fromSupplier(() -> new AttemptSignal.Completed(offset.get(), 0, 0, "stop")))
                .map(signal -> new AttemptEvent(attempt, signal))
                .doFinally(end -> connection.dispose());
    }

    /** Copies a part of the response body. */
    private static AttemptSignal chunk(ByteBuf buffer, AtomicLong offset) {
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        return new AttemptSignal.Chunk(offset.getAndAdd(bytes.length), bytes.length, bytes);
    }

    /** Returns the headers that are forwarded to the caller. */
    private static List<Header> headers(HttpClientResponse response) {
        List<Header> headers = new ArrayList<>();
        for (Map.Entry<String, String> entry : response.responseHeaders()) {
            if (!HOP_BY_HOP.contains(entry.getKey().toLowerCase(Locale.ROOT))) {
                headers.add(new Header(entry.getKey(), entry.getValue()));
            }
        }
        return headers;
    }
}
