package org.apricotstack.adapters.upstream;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
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
 * Asks engines what they hold and what they are, and orders them. Looks go over one kept connection to each engine,
 * as a new one for each costs more bytes than the answer; releases and orders take new connections.
 */
final class EngineControl {

    private static final int MOST_OK = 299;
    private static final int CONFLICT = 409;

    private final HttpClient client;
    private final HttpClient looks;

    /** Creates the calls over new connections and over kept ones. */
    EngineControl(HttpClient client, HttpClient looks) {
        this.client = client;
        this.looks = looks;
    }

    /** Makes a call without a body; a status of failure is an error. */
    Mono<byte[]> call(HttpMethod method, Upstream upstream, String path) {
        return (method == HttpMethod.GET ? looks : client)
                .request(method)
                .uri(EngineCalls.uri(upstream, path))
                .responseSingle((response, body) -> response.status().code() <= MOST_OK
                        ? body.asByteArray().defaultIfEmpty(new byte[0])
                        : Mono.error(new ApricotException(
                                ErrorCode.ENVIRONMENT,
                                "The upstream " + upstream.id() + " answered with status "
                                        + response.status().code() + "; check it.")));
    }

    /** Lists what an engine holds. */
    Mono<List<HeldStream>> held(Upstream upstream) {
        return call(HttpMethod.GET, upstream, EngineProtocol.HELD).map(bytes -> {
            List<HeldStream> held = new ArrayList<>();
            for (JsonNode node : read(bytes, upstream)) {
                held.add(new HeldStream(
                        node.path("name").asText(),
                        ProcessId.parse(node.path("owner").asText()),
                        node.path("ageMillis").asLong(),
                        node.path("timeLimitMillis").asLong()));
            }
            return held;
        });
    }

    /** Reads what an engine is. */
    Mono<DesiredUpstreamState> state(Upstream upstream) {
        return call(HttpMethod.GET, upstream, EngineProtocol.STATE).map(bytes -> {
            JsonNode node = read(bytes, upstream);
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

    /** Orders an engine. */
    Mono<Boolean> order(Upstream upstream, DesiredUpstreamState order) {
        ObjectNode document = Json.STRICT
                .createObjectNode()
                .put("model", order.model())
                .put("revision", order.revision())
                .put("role", order.role())
                .put("fencing", order.fencing());
        order.adapters().forEach(document.putArray("adapters")::add);
        byte[] bytes = Json.write(document).getBytes(StandardCharsets.UTF_8);
        return client.post()
                .uri(EngineCalls.uri(upstream, EngineProtocol.STATE))
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
                .response()
                .map(response -> response.status().code() != CONFLICT
                        && response.status().code() <= MOST_OK);
    }

    /** Reads a document of an engine. */
    private static JsonNode read(byte[] bytes, Upstream upstream) {
        try {
            return Json.STRICT.readTree(bytes);
        } catch (IOException e) {
            throw new ApricotException(
                    ErrorCode.ENVIRONMENT, "The upstream " + upstream.id() + " did not answer with JSON; check it.", e);
        }
    }
}
