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

/** A stand-in for the platform's documents: it can be published to here, and read and watched over HTTP. */
public final class StandInPlatform implements AutoCloseable {

    private final Map<ReplicationTopic, DocumentSet> sets = new EnumMap<>(ReplicationTopic.class);
    private final Map<ReplicationTopic, DocumentSet> frozen = new EnumMap<>(ReplicationTopic.class);
    private final Map<ReplicationTopic, DocumentSet> remembered = new EnumMap<>(ReplicationTopic.class);
    private final Sinks.Many<Long> changes = Sinks.many().replay().latestOrDefault(0L);
    private final AtomicLong calls = new AtomicLong();
    private final DisposableServer server;
    private volatile boolean down;
    private long published;

    /**
     * Starts a platform without documents.
     *
     * @param listen the address; port 0 lets the machine choose
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
     * Publishes changes as one new version.
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
        changes.tryEmitNext(++published);
        return version;
    }

    /** Remembers what is published now, to serve it later as a stale platform does. */
    public synchronized void remember() {
        remembered.putAll(sets);
    }

    /** Serves from now on what was remembered. */
    public synchronized void freezeAsRemembered() {
        frozen.putAll(remembered);
    }

    /** Serves what is published. */
    public synchronized void unfreeze() {
        frozen.clear();
        changes.tryEmitNext(++published);
    }

    /**
     * Takes the service down or up.
     *
     * @param isDown whether each call is to fail
     */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Answers a read or a watch. */
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

    /** Returns the set that is served now. */
    private synchronized DocumentSet served(ReplicationTopic topic) {
        return frozen.getOrDefault(topic, sets.get(topic));
    }

    /** Reads a number of the query. */
    private static long number(Map<String, List<String>> query, String name) {
        return Long.parseLong(query.getOrDefault(name, List.of("0")).get(0));
    }

    /**
     * Returns the newest version.
     *
     * @param topic the document set
     * @return the version
     */
    public synchronized long version(ReplicationTopic topic) {
        return sets.get(topic).version();
    }

    /**
     * Returns how many calls were made; a waiting watch is one.
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
