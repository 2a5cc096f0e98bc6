package org.apricotstack.adapters.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeType;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import org.apricotstack.adapters.json.Json;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.failure.ErrorCode;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.order.DesiredUpstreamState;
import org.apricotstack.core.owner.HeldStream;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;

/**
 * Reads the held streams and the state of engines, and sets their desired state. Queries use one keep-alive connection
 * to each engine, as opening a connection for each costs more bytes than the response; releases and state changes use
 * new connections.
 */
final class EngineControl {

    private static final int MAX_SUCCESS = 299;
    private static final int CONFLICT = 409;

    private final HttpClient client;
    private final HttpClient queryClient;

    /** Creates a client that uses new connections for changes and keep-alive connections for queries. */
    EngineControl(HttpClient client, HttpClient queryClient) {
        this.client = client;
        this.queryClient = queryClient;
    }

    /** Makes a call without a body. A status above 299 is an error. */
    Mono<byte[]> call(HttpMethod method, Upstream upstream, String path) {
        return (method == HttpMethod.GET ? queryClient : client)
                .request(method)
                .uri(EngineCalls.uri(upstream, path))
                .responseSingle((response, body) -> response.status().code() <= MAX_SUCCESS
                        ? body.asByteArray().defaultIfEmpty(new byte[0])
                        : Mono.error(new ApricotException(
                                ErrorCode.ENVIRONMENT,
                                "The upstream " + upstream.id() + " answered with status "
                                        + response.status().code() + "; check it.")));
    }

    /** Lists the streams that an engine holds. */
    Mono<List<HeldStream>> held(Upstream upstream) {
        return call(HttpMethod.GET, upstream, EngineProtocol.HELD).map(bytes -> {
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
        return call(HttpMethod.GET, upstream, EngineProtocol.STATE).map(bytes -> {
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

    /** Parses the JSON of an engine. Another type shows that the response answers an earlier query. */
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

    /** Creates the error for a response that is not what the query asks for. */
    private static ApricotException malformed(Upstream upstream, IOException cause) {
        return new ApricotException(
                ErrorCode.ENVIRONMENT,
                "The upstream " + upstream.id() + " did not answer with the expected JSON; check it.",
                cause);
    }
}
