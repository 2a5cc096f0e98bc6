package org.apricotstack.bench.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.apricotstack.adapters.configuration.DocumentDeltas;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.DocumentSet;
import org.apricotstack.core.replication.ReplicationTopic;
import org.reactivestreams.Publisher;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** A simulated platform: documents are published through this class, and read and watched over HTTP. */
public final class StandInPlatform implements AutoCloseable {

    private final Map<ReplicationTopic, DocumentSet> sets = new EnumMap<>(ReplicationTopic.class);
    private final Map<ReplicationTopic, DocumentSet> stale = new EnumMap<>(ReplicationTopic.class);
    private final Map<ReplicationTopic, DocumentSet> snapshot = new EnumMap<>(ReplicationTopic.class);
    private final Sinks.Many<Long> changes = Sinks.many().replay().latestOrDefault(0L);
    private final AtomicLong calls = new AtomicLong();
    private final DisposableServer server;
    private volatile boolean down;
    private long publications;

    /**
     * Starts a platform without documents.
     *
     * @param listen the address; port 0 for any free port
     */
    public StandInPlatform(Address listen) {
        for (ReplicationTopic topic : ReplicationTopic.values()) {
            sets.put(topic, DocumentSet.EMPTY);
        }
        server = HttpServer.create()
                .host(listen.ip())
                .port(listen.port())
                .route(routes -> routes.get("/v1/documents/{topic}", this::read))
                .bindNow();
    }

    /**
     * Publishes changes as a new version.
     *
     * @param topic the document set
     * @param changed documents by key
     * @param removed keys to remove
     * @return the new version
     */
    public synchronized long publish(ReplicationTopic topic, Map<String, String> changed, List<String> removed) {
        DocumentSet current = sets.get(topic);
        long version = current.version() + 1;
        List<Document> documents = new ArrayList<>();
        changed.forEach((key, body) -> documents.add(new Document(key, version, body)));
        Map<String, Long> removals = new TreeMap<>();
        removed.forEach(key -> removals.put(key, version));
        sets.put(topic, current.with(new DocumentDelta(current.version(), version, false, documents, removals)));
        changes.tryEmitNext(++publications);
        return version;
    }

    /** Takes a snapshot of the published documents, which can be served later to simulate a stale platform. */
    public synchronized void takeSnapshot() {
        snapshot.putAll(sets);
    }

    /** Serves the snapshot instead of the current documents. */
    public synchronized void serveSnapshot() {
        stale.putAll(snapshot);
    }

    /** Serves the current documents again. */
    public synchronized void serveCurrent() {
        stale.clear();
        changes.tryEmitNext(++publications);
    }

    /**
     * Makes all calls fail, or succeed again.
     *
     * @param isDown whether every call fails
     */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Handles a read or a watch. */
    private Publisher<Void> read(HttpServerRequest request, HttpServerResponse response) {
        calls.incrementAndGet();
        if (down) {
            return response.status(503).send();
        }
        ReplicationTopic topic = ReplicationTopic.valueOf(request.param("topic").toUpperCase(Locale.ROOT));
        Map<String, List<String>> query = new QueryStringDecoder(request.uri()).parameters();
        long since = number(query, "since");
        long beyond = number(query, "beyond");
        Duration wait = Duration.ofMillis(number(query, "waitMillis"));
        return changes.asFlux()
                .filter(change -> served(topic).version() > beyond)
                .next()
                .map(change -> DocumentDeltas.write(served(topic).since(since)))
                .timeout(wait, Mono.empty())
                .flatMap(text -> response.header("Content-Type", "application/json")
                        .sendString(Mono.just(text))
                        .then()
                        .thenReturn(true))
                .switchIfEmpty(
                        Mono.defer(() -> response.status(204).send().then().thenReturn(true)))
                .then();
    }

    /** Returns the document set that is currently served. */
    private synchronized DocumentSet served(ReplicationTopic topic) {
        return stale.getOrDefault(topic, sets.get(topic));
    }

    /** Parses a number of the query; 0 if it is absent. */
    private static long number(Map<String, List<String>> query, String name) {
        return Long.parseLong(query.getOrDefault(name, List.of("0")).get(0));
    }

    /**
     * Returns the latest version.
     *
     * @param topic the document set
     * @return the version
     */
    public synchronized long version(ReplicationTopic topic) {
        return sets.get(topic).version();
    }

    /**
     * Returns the number of calls, including waiting watches.
     *
     * @return the number
     */
    public long calls() {
        return calls.get();
    }

    /**
     * Returns the address.
     *
     * @return where the platform listens
     */
    public Address address() {
        return new Address(server.host(), server.port());
    }

    @Override
    public void close() {
        server.disposeNow();
    }
}
