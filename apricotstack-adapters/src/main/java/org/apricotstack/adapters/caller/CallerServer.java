package org.apricotstack.adapters.caller;

import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.BiFunction;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import org.apricotstack.adapters.caller.CallerEndpoint.IssuedTicket;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.core.configuration.ServiceKind;
import org.apricotstack.core.dispatch.Header;
import org.apricotstack.core.dispatch.Work.PlainCall;
import org.apricotstack.core.entry.EntryRequest;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.failure.RefusedException;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.limits.ByteBudget;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP server for callers. */
public final class CallerServer implements AutoCloseable {

    /** Request header: the time limit, in milliseconds. */
    public static final String TIME_LIMIT_HEADER = "X-Time-Limit-Millis";

    /** Request header: the ticket. */
    public static final String TICKET_HEADER = "Idempotency-Key";

    private static final String SERVICES = "/v1/services/";
    private static final String BEARER = "Bearer ";
    private static final int MAX_HEADER_BYTES = 16 << 10;

    /** Request headers that are not forwarded to plain services: they concern the connection or this system. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "authorization",
            "connection",
            "content-length",
            "expect",
            "host",
            "idempotency-key",
            "keep-alive",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "x-time-limit-millis",
            "x-attempt-id");

    private final CallerEndpoint endpoint;
    private final ByteBudget budget;
    private final OpenRequests open;
    private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final DisposableServer server;

    /**
     * Starts a server.
     *
     * @param listen the address; port 0 selects a free port
     * @param tls keys, or {@code null} for none
     * @param endpoint handles the requests
     * @param budget memory for request bodies
     * @param open counts the requests
     */
    public CallerServer(Address listen, SslContext tls, CallerEndpoint endpoint, ByteBudget budget, OpenRequests open) {
        this.endpoint = endpoint;
        this.budget = budget;
        this.open = open;
        HttpServer http = HttpServer.create()
                .host(listen.ip())
                .port(listen.port())
                .doOnConnection(connection -> connections.add(connection.channel()))
                .httpRequestDecoder(spec -> spec.maxHeaderSize(MAX_HEADER_BYTES))
                .route(this::routes);
        if (tls != null) {
            http = http.secure(spec -> spec.sslContext(tls));
        }
        try {
            server = http.bindNow();
        } catch (ChannelBindException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT,
                    "Cannot listen on callerAddress " + listen + "; choose an address of this host that is free.",
                    e);
        }
    }

    /** Registers the routes. */
    private void routes(HttpServerRoutes routes) {
        routes.get("/v1/entries", tracked(this::entries))
                .post("/v1/tickets", tracked(this::ticket))
                .post("/v1/completions", tracked(this::completion))
                .route(request -> request.uri().startsWith(SERVICES), tracked(this::plain));
    }

    /** Counts the requests of a handler. */
    private Handler tracked(Handler handler) {
        return (request, response) -> open.track(() -> handler.apply(request, response));
    }

    /** Handles a request and completes when its response was sent. */
    private interface Handler extends BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> {}

    /** Sends the addresses of the routers that the caller should use. */
    private Publisher<Void> entries(HttpServerRequest request, HttpServerResponse response) {
        String ip = request.remoteAddress() == null
                ? ""
                : request.remoteAddress().getAddress().getHostAddress();
        CallerEndpoint.EntryAnswer answer = endpoint.entries(ip);
        ObjectNode document = Json.STRICT.createObjectNode();
        var entries = document.putArray("entries");
        answer.addresses().forEach(address -> entries.add(address.toString()));
        document.put("keepMillis", answer.keepMillis());
        return json(response, Json.write(document));
    }

    /** Issues a ticket. */
    private Publisher<Void> ticket(HttpServerRequest request, HttpServerResponse response) {
        try {
            IssuedTicket issued = endpoint.issueTicket(keyDigest(request));
            ObjectNode document = Json.STRICT
                    .createObjectNode()
                    .put("ticket", issued.ticket().toString())
                    .put("validMillis", issued.validMillis());
            return json(response.status(201), Json.write(document));
        } catch (RefusedException e) {
            return ResponseWriter.problem(response, e.refusal(), null);
        }
    }

    /** Handles a completion request. */
    private Publisher<Void> completion(HttpServerRequest request, HttpServerResponse response) {
        return withBody(request, response, body -> {
            CompletionScan scan = CompletionScan.of(body.bytes());
            EntryRequest entry = new EntryRequest(
                    keyDigest(request),
                    ServiceKind.COMPLETION,
                    scan.model(),
                    scan.promptTokens(),
                    scan.maxTokens(),
                    scan.fingerprints(),
                    body.bytes(),
                    null,
                    request.requestHeaders().get(TIME_LIMIT_HEADER),
                    request.requestHeaders().get(TICKET_HEADER));
            return new ResponseWriter(response, endpoint.submit(entry)).completion(scan.model(), scan.stream());
        });
    }

    /** Handles a request to a plain service. */
    private Publisher<Void> plain(HttpServerRequest request, HttpServerResponse response) {
        String rest = request.uri().substring(SERVICES.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        if (path.contains("..")) {
            Refusal refusal = Refusal.notRun(RefusalReason.INVALID_REQUEST, "The path may not contain \"..\".");
            return ResponseWriter.problem(response, refusal, null);
        }
        return withBody(request, response, body -> {
            PlainCall call = new PlainCall(request.method().name(), path, forwardedHeaders(request));
            EntryRequest entry = new EntryRequest(
                    keyDigest(request),
                    ServiceKind.PLAIN,
                    service,
                    0,
                    0,
                    List.of(),
                    body.bytes(),
                    call,
                    request.requestHeaders().get(TIME_LIMIT_HEADER),
                    request.requestHeaders().get(TICKET_HEADER));
            return new ResponseWriter(response, endpoint.submit(entry)).plain();
        });
    }

    /** Reads the body, calls the handler, and releases the memory of the body when the response has ended. */
    private Publisher<Void> withBody(HttpServerRequest request, HttpServerResponse response, BodyHandler handler) {
        return RequestBody.read(request, budget, endpoint.maxBodyBytes())
                .flatMap(body ->
                        Mono.defer(() -> Mono.from(handler.handle(body))).doFinally(end -> body.close()))
                .onErrorResume(
                        RefusedException.class,
                        error -> Mono.from(ResponseWriter.problem(response, error.refusal(), null)));
    }

    /** Handles a request whose body was read. */
    @FunctionalInterface
    private interface BodyHandler {

        /**
         * Handles the request.
         *
         * @param body the body
         * @return completes when the response was sent
         */
        Publisher<Void> handle(RequestBody body);
    }

    /** Returns the headers that are forwarded to a plain service. */
    private static List<Header> forwardedHeaders(HttpServerRequest request) {
        return request.requestHeaders().entries().stream()
                .filter(entry -> !NOT_FORWARDED.contains(entry.getKey().toLowerCase(Locale.ROOT)))
                .map(entry -> new Header(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Returns the digest of the caller's key. The key itself is not passed on or stored. */
    private static String keyDigest(HttpServerRequest request) {
        String header = request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION);
        boolean bearer = header != null && header.regionMatches(true, 0, BEARER, 0, BEARER.length());
        return bearer ? KeyDigests.of(header.substring(BEARER.length()).trim()) : null;
    }

    /** Sends a JSON document. */
    private static Publisher<Void> json(HttpServerResponse response, String document) {
        return response.header(HttpHeaderNames.CONTENT_TYPE, "application/json").sendString(Mono.just(document));
    }

    /**
     * Returns the port.
     *
     * @return the port on which the server listens
     */
    public int port() {
        return server.port();
    }

    /** Closes the listening socket and all connections, as the end of the process does. */
    @Override
    public void close() {
        server.disposeNow();
        connections.close();
    }
}
