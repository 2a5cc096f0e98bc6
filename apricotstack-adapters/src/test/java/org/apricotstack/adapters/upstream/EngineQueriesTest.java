package org.apricotstack.adapters.upstream;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;

import io.netty.channel.ChannelId;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/** Queries to engines that repeat the ids of queries, or do not. */
class EngineQueriesTest {

    private static final int QUERIES = 4;
    private static final String STATE = "{\"model\":\"m\",\"revision\":\"r\",\"role\":\"role\",\"fencing\":1}";

    private final Set<ChannelId> connections = ConcurrentHashMap.newKeySet();
    private DisposableServer server;
    private HttpUpstreamGateway gateway;

    /** Returns the id in a response to a query, or {@code null} if the response has none. */
    private volatile UnaryOperator<String> responseId = UnaryOperator.identity();

    @BeforeEach
    void start() {
        server = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .doOnConnection(
                        connection -> connections.add(connection.channel().id()))
                .route(routes -> routes.get(EngineProtocol.STATE, this::state))
                .bindNow();
        gateway = new HttpUpstreamGateway(new ProcessId(new HostId("host-1"), 1));
    }

    @AfterEach
    void stop() {
        gateway.close();
        server.disposeNow();
    }

    private Publisher<Void> state(HttpServerRequest request, HttpServerResponse response) {
        String id = responseId.apply(request.requestHeaders().get("X-Query-Id"));
        if (id != null) {
            response.header("X-Query-Id", id);
        }
        return response.sendString(Mono.just(STATE));
    }

    private void query() {
        Upstream upstream = new Upstream(
                new UpstreamId("upstream-1"),
                new GroupId("group"),
                new Address("127.0.0.1", server.port()),
                1,
                1,
                false,
                false,
                "role");
        assertThat(gateway.state(upstream).block().model()).isEqualTo("m");
    }

    private int connectionsOfQueries() {
        for (int i = 0; i < QUERIES; i++) {
            query();
        }
        return connections.size();
    }

    @Test
    void keepsTheConnectionToAnEngineThatRepeatsIds() {
        assertThat(connectionsOfQueries()).isEqualTo(1);
    }

    @Test
    void opensAConnectionForEachQueryToAnEngineThatRepeatsNoIds() {
        responseId = id -> null;
        assertThat(connectionsOfQueries()).isEqualTo(QUERIES);
    }

    /** Guards against a late response without an id, or with that of an earlier query, on a kept connection. */
    @ParameterizedTest
    @ValueSource(strings = {"", "1"})
    void refusesAResponseWithoutTheIdOfTheQueryOnAKeptConnection(String late) {
        query();
        responseId = id -> late.isEmpty() ? null : late;
        assertThatThrownBy(this::query).isInstanceOf(ApricotException.class).hasMessageContaining("id of the query");
        responseId = UnaryOperator.identity();
        query();
        assertThat(connections).hasSize(2);
    }
}
