package org.apricotstack.adapters.admin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.ssl.SslContext;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.adapters.json.KeyDigests;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.Address;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;
import reactor.netty.http.server.HttpServerRoutes;

/** HTTP server for operators, with its own port and key. */
public final class AdminServer implements AutoCloseable {

    private static final String BEARER = "Bearer ";
    private static final String JSON_TYPE = "application/json";
    private static final int UNAUTHORIZED = 401;
    private static final int BAD_REQUEST = 400;

    private final AdminEndpoint endpoint;
    private final byte[] keyDigest;
    private final MetricReports reports;
    private final DisposableServer server;

    /**
     * Starts a server.
     *
     * @param listen the address; port 0 selects a free port
     * @param tls keys, or {@code null} for none
     * @param keyDigest SHA-256 of the operators' key, lower-case hexadecimal
     * @param endpoint handles the requests
     * @param registry the metrics to report
     */
    public AdminServer(
            Address listen, SslContext tls, String keyDigest, AdminEndpoint endpoint, MetricRegistry registry) {
        this.endpoint = endpoint;
        this.keyDigest = keyDigest.getBytes(StandardCharsets.US_ASCII);
        this.reports = new MetricReports(registry);
        HttpServer http =
                HttpServer.create().host(listen.ip()).port(listen.port()).route(this::routes);
        if (tls != null) {
            http = http.secure(spec -> spec.sslContext(tls));
        }
        try {
            server = http.bindNow();
        } catch (ChannelBindException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT,
                    "Cannot listen on adminAddress " + listen + "; choose an address of this host that is free.",
                    e);
        }
    }

    /** Registers the routes. */
    private void routes(HttpServerRoutes routes) {
        routes.get("/v1/status", authenticated((request, response) -> json(response, endpoint.statusTree())))
                .get("/v1/fleet", authenticated((request, response) -> endpoint.fleet()
                        .flatMap(tree -> Mono.from(json(response, tree)))))
                .get("/v1/metrics", authenticated(this::metrics))
                .get("/v1/explain", authenticated(this::explain))
                .post("/v1/drain", authenticated((request, response) -> {
                    endpoint.drain();
                    return response.status(202).send();
                }));
    }

    /** Rejects requests without the operators' key. */
    private Handler authenticated(Handler handler) {
        return (request, response) -> {
            String header = request.requestHeaders().get(HttpHeaderNames.AUTHORIZATION, "");
            String key = header.startsWith(BEARER) ? header.substring(BEARER.length()) : "";
            byte[] presented = KeyDigests.of(key).getBytes(StandardCharsets.US_ASCII);
            if (!MessageDigest.isEqual(presented, keyDigest)) {
                return response.status(UNAUTHORIZED).send();
            }
            return handler.apply(request, response);
        };
    }

    /** Sends the metrics, as JSON if the request accepts it and as text otherwise. */
    private Publisher<Void> metrics(HttpServerRequest request, HttpServerResponse response) {
        boolean asJson =
                request.requestHeaders().get(HttpHeaderNames.ACCEPT, "").contains(JSON_TYPE);
        return response.header(HttpHeaderNames.CONTENT_TYPE, asJson ? JSON_TYPE : MetricReports.TEXT_TYPE)
                .sendString(Mono.just(asJson ? reports.json() : reports.text()));
    }

    /** Explains how a request would be routed. */
    private Publisher<Void> explain(HttpServerRequest request, HttpServerResponse response) {
        Map<String, List<String>> parameters = new QueryStringDecoder(request.uri()).parameters();
        try {
            return json(
                    response,
                    endpoint.explain(new AdminEndpoint.Question(
                            one(parameters, "account"),
                            one(parameters, "service"),
                            Long.parseLong(one(parameters, "promptTokens")),
                            Long.parseLong(one(parameters, "outputTokens")))));
        } catch (IllegalArgumentException | ApricotException e) {
            return response.status(BAD_REQUEST)
                    .sendString(Mono.just("Give account, service, promptTokens and outputTokens."));
        }
    }

    /** Returns the single value of a parameter. */
    private static String one(Map<String, List<String>> parameters, String name) {
        List<String> values = parameters.getOrDefault(name, List.of());
        if (values.size() != 1) {
            throw new IllegalArgumentException(name);
        }
        return values.get(0);
    }

    /** Sends a JSON document. */
    private static Publisher<Void> json(HttpServerResponse response, JsonNode tree) {
        return response.header(HttpHeaderNames.CONTENT_TYPE, JSON_TYPE).sendString(Mono.just(Json.write(tree)));
    }

    /**
     * Returns the port.
     *
     * @return the port on which the server listens
     */
    public int port() {
        return server.port();
    }

    @Override
    public void close() {
        server.disposeNow();
    }

    /** Handles one request. */
    private interface Handler extends BiFunction<HttpServerRequest, HttpServerResponse, Publisher<Void>> {}
}
