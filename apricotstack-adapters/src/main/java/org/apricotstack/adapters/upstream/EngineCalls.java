package org.apricotstack.adapters.upstream;

import java.util.List;
import java.util.stream.Collectors;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.dispatch.Assignment;
import org.apricotstack.core.dispatch.DispatchCommand;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.stream.AttemptEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/** Runs completions on engines. The caller's body is forwarded unchanged; everything else is sent in headers. */
final class EngineCalls {

    private static final int OK = 200;

    private final ProcessId self;
    private final HttpClient pooled;
    private final HttpClient fresh;

    /** Creates a client that uses pooled and new connections. */
    EngineCalls(ProcessId self, HttpClient pooled, HttpClient fresh) {
        this.self = self;
        this.pooled = pooled;
        this.fresh = fresh;
    }

    /** Runs an attempt: first the reservations on helpers, if any, then the completion on the lead engine. */
    Flux<AttemptEvent> run(Assignment assignment, long remainingMillis) {
        List<Upstream> engines = assignment.upstreams();
        Flux<AttemptEvent> completion = complete(assignment, remainingMillis);
        if (engines.size() == 1) {
            return completion;
        }
        long share = (assignment.queued().memoryTokens() + engines.size() - 1) / engines.size();
        return Flux.fromIterable(engines.subList(1, engines.size()))
                .concatMap(helper -> reserve(assignment, helper, share, remainingMillis))
                .then()
                .thenMany(completion);
    }

    /** Reserves memory on a helper. */
    private Mono<Void> reserve(Assignment assignment, Upstream helper, long tokens, long remainingMillis) {
        return fresh.headers(headers -> {
                    setCommonHeaders(headers, assignment.queued().command(), remainingMillis);
                    headers.set(EngineProtocol.TOKENS, tokens);
                })
                .post()
                .uri(uri(helper, EngineProtocol.RESERVATIONS))
                .response()
                .flatMap(response -> response.status().code() == OK
                        ? Mono.<Void>empty()
                        : Mono.error(Refusal.notRun(RefusalReason.UPSTREAM_REFUSED, 0)
                                .toException()));
    }

    /** Runs the completion on the lead engine. */
    private Flux<AttemptEvent> complete(Assignment assignment, long remainingMillis) {
        DispatchCommand command = assignment.queued().command();
        List<Upstream> engines = assignment.upstreams();
        HttpClient client = command.work().repeatable() ? pooled : fresh;
        EngineEvents decoder = new EngineEvents(command.attempt());
        return client.headers(headers -> {
                    setCommonHeaders(headers, command, remainingMillis);
                    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
                    headers.set(HttpHeaderNames.ACCEPT, "text/event-stream");
                    headers.set(
                            EngineProtocol.PRIORITY,
                            HttpUpstreamGateway.priority(assignment.queued().lengthClass()));
                    headers.set(EngineProtocol.RESUME_OFFSET, command.resumeOffset());
                    if (engines.size() > 1) {
                        headers.set(EngineProtocol.HELPERS, helperNames(engines));
                    }
                })
                .post()
                .uri(uri(engines.get(0), EngineProtocol.COMPLETIONS))
                .send((request, outbound) -> outbound.sendObject(
                        Unpooled.wrappedBuffer(command.work().body())))
                .responseConnection((response, connection) -> events(response, connection, decoder));
    }

    /** Reads the events of a response, or the engine's refusal. */
    private static Flux<AttemptEvent> events(HttpClientResponse response, Connection connection, EngineEvents decoder) {
        Refusal refusal = UpstreamFailures.refusalOf(response);
        if (refusal != null) {
            connection.dispose();
            return Flux.error(refusal.toException());
        }
        if (response.status().code() != OK) {
            connection.dispose();
            return Flux.error(Refusal.unknown(RefusalReason.UPSTREAM_FAILED).toException());
        }
        return HttpLines.of(connection)
                .map(decoder::decode)
                .takeUntil(AttemptEvent::isLast)
                .doFinally(end -> connection.dispose());
    }

    /** Sets the headers that all requests of an attempt have in common. */
    private void setCommonHeaders(HttpHeaders headers, DispatchCommand command, long remainingMillis) {
        headers.set(EngineProtocol.ATTEMPT, command.attempt().toString());
        headers.set(EngineProtocol.OWNER, self.toString());
        headers.set(EngineProtocol.TIME_LIMIT, remainingMillis);
    }

    /** Returns the names of the helpers, separated by commas. */
    private static String helperNames(List<Upstream> engines) {
        return engines.stream().skip(1).map(helper -> helper.id().value()).collect(Collectors.joining(","));
    }

    /** Returns the URI of an upstream's resource. */
    static String uri(Upstream upstream, String path) {
        return "http://" + upstream.address() + path;
    }
}
