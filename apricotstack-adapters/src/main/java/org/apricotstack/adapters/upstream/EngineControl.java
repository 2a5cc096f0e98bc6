package org.apricotstack.adapters.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeType;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.util.AttributeKey;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.AttemptId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.order.DesiredUpstreamState;
import org.apricotstack.core.owner.HeldStream;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufMono;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;

/**
 * Reads the held streams and the state of engines, and sets their desired state. Queries use one keep-alive connection
 * to each engine, as opening a connection for each costs more bytes than the response; releases and state changes use
 * new connections.
 *
 * <p>Each query has an id, which the engine repeats in its response, so that a second response to an earlier query is
 * not taken for the one to the current query. The connections to an engine that does not repeat the ids are not kept.
 */
final class EngineControl {

    private static final int MAX_SUCCESS = 299;
    private static final int CONFLICT = 409;

    /** Set on connections that carried a query; on these, a response without an id may answer an earlier one. */
    private static final AttributeKey<Boolean> CARRIED_QUERY =
            AttributeKey.valueOf(EngineControl.class, "carriedQuery");

    private final HttpClient client;
    private final HttpClient queryClient;
    private final AtomicLong lastQuery = new AtomicLong();

    /** Creates a client that uses new connections for changes and keep-alive connections for queries. */
    EngineControl(HttpClient client, HttpClient queryClient) {
        this.client = client;
        this.queryClient = queryClient;
    }

    /** Releases a held stream. A status above 299 is an error. */
    Mono<Void> release(Upstream upstream, AttemptId attempt) {
        return client.delete()
                .uri(EngineCalls.uri(upstream, EngineProtocol.HELD + "/" + attempt))
                .responseSingle((response, body) -> body(upstream, response, body))
                .then();
    }

    /** Reads a document of an engine. A status above 299 is an error. */
    private Mono<byte[]> query(Upstream upstream, String path) {
        return Mono.defer(() -> {
            String id = Long.toString(lastQuery.incrementAndGet());
            AtomicBoolean belongs = new AtomicBoolean();
            return queryClient
                    .headers(headers -> headers.set(EngineProtocol.QUERY, id))
                    .doOnResponse((response, connection) -> belongs.set(belongs(id, response, connection)))
                    .get()
                    .uri(EngineCalls.uri(upstream, path))
                    .responseSingle((response, body) ->
                            belongs.get() ? body(upstream, response, body) : Mono.error(otherQuery(upstream)));
        });
    }

    /** Returns whether a response belongs to a query, and lets its connection be kept only if it has the query's id. */
    private static boolean belongs(String query, HttpClientResponse response, Connection connection) {
        String echoed = response.responseHeaders().get(EngineProtocol.QUERY);
        boolean first = connection.channel().attr(CARRIED_QUERY).getAndSet(true) == null;
        boolean hasId = query.equals(echoed);
        if (!hasId) {
            connection.markPersistent(false);
        }
        return hasId || echoed == null && first;
    }

    /** Returns the body of a response. */
    private static Mono<byte[]> body(Upstream upstream, HttpClientResponse response, ByteBufMono body) {
        return response.status().code() <= MAX_SUCCESS
                ? body.asByteArray().defaultIfEmpty(new byte[0])
                : Mono.error(unexpectedStatus(upstream, response));
    }

    /** Lists the streams that an engine holds. */
    Mono<List<HeldStream>> held(Upstream upstream) {
        return query(upstream, EngineProtocol.HELD).map(bytes -> {
            List<HeldStream> held = new ArrayList<>();
            for (JsonNode node : read(bytes, upstream, JsonNodeType.ARRAY)) {
                held.add(new HeldStream(
                        node.path("name").asText(),
                        ProcessId.parse(node.path("owner").asText()),
                        node.path("ageMillis").asLong(),
                        node.path("timeLimitMillis").asLong()));
            }
            return held;
        });
    }

    /** Reads the current state of an engine. */
    Mono<DesiredUpstreamState> state(Upstream upstream) {
        return query(upstream, EngineProtocol.STATE).map(bytes -> {
            JsonNode node = read(bytes, upstream, JsonNodeType.OBJECT);
            List<String> adapters = new ArrayList<>();
            node.path("adapters").forEach(adapter -> adapters.add(adapter.asText()));
            return new DesiredUpstreamState(
                    upstream.id(),
                    node.path("model").asText(),
                    node.path("revision").asText(),
                    adapters,
                    node.path("role").asText(),
                    node.path("fencing").asLong());
        });
    }

    /** Sends the desired state to an engine; returns whether the engine accepted it. */
    Mono<Boolean> order(Upstream upstream, DesiredUpstreamState desired) {
        ObjectNode document = Json.STRICT
                .createObjectNode()
                .put("model", desired.model())
                .put("revision", desired.revision())
                .put("role", desired.role())
                .put("fencing", desired.fencing());
        desired.adapters().forEach(document.putArray("adapters")::add);
        byte[] bytes = Json.write(document).getBytes(StandardCharsets.UTF_8);
        return client.post()
                .uri(EngineCalls.uri(upstream, EngineProtocol.STATE))
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
                .response()
                .map(response -> response.status().code() != CONFLICT
                        && response.status().code() <= MAX_SUCCESS);
    }

    /** Parses the JSON of an engine. */
    private static JsonNode read(byte[] bytes, Upstream upstream, JsonNodeType expected) {
        try {
            JsonNode node = Json.STRICT.readTree(bytes);
            if (node.getNodeType() != expected) {
                throw malformed(upstream, null);
            }
            return node;
        } catch (IOException e) {
            throw malformed(upstream, e);
        }
    }

    /** Creates the error for an unexpected status. */
    private static ApricotException unexpectedStatus(Upstream upstream, HttpClientResponse response) {
        return new ApricotException(
                ErrorCode.ENVIRONMENT,
                "The upstream " + upstream.id() + " answered with status "
                        + response.status().code() + "; check it.");
    }

    /** Creates the error for a response that may answer another query. */
    private static ApricotException otherQuery(Upstream upstream) {
        return new ApricotException(
                ErrorCode.ENVIRONMENT,
                "The upstream " + upstream.id()
                        + " sent a response without the id of the query; the query is repeated.");
    }

    /** Creates the error for a response that is not what the query asks for. */
    private static ApricotException malformed(Upstream upstream, IOException cause) {
        return new ApricotException(
                ErrorCode.ENVIRONMENT,
                "The upstream " + upstream.id() + " did not answer with the expected JSON; check it.",
                cause);
    }
}
