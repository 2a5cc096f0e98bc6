package org.apricotstack.router;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.replication.Document;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.DocumentSet;
import org.apricotstack.core.replication.PlatformDocuments;
import org.apricotstack.core.replication.ReplicationTopic;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.test.scheduler.VirtualTimeScheduler;

/** A simulated platform that may be unavailable or serve an old version. */
final class SpreadPlatform implements PlatformDocuments {

    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    private final VirtualTimeScheduler time;
    private final Map<ReplicationTopic, DocumentSet> sets = new EnumMap<>(ReplicationTopic.class);
    private final Map<ReplicationTopic, DocumentSet> staleSets = new EnumMap<>(ReplicationTopic.class);
    private boolean down;
    private long calls;

    SpreadPlatform(VirtualTimeScheduler time) {
        this.time = time;
        for (ReplicationTopic topic : ReplicationTopic.values()) {
            sets.put(topic, DocumentSet.EMPTY);
        }
    }

    /** Publishes one document as a new version. */
    long publish(ReplicationTopic topic, String key, String body) {
        DocumentSet current = sets.get(topic);
        long version = current.version() + 1;
        Document document = new Document(key, version, body);
        sets.put(
                topic, current.with(new DocumentDelta(current.version(), version, false, List.of(document), Map.of())));
        return version;
    }

    long version(ReplicationTopic topic) {
        return sets.get(topic).version();
    }

    void setDown(boolean isDown) {
        down = isDown;
    }

    /** From now on serves the current version, even after later publications. */
    void becomeStale() {
        staleSets.putAll(sets);
    }

    /** Returns the newest published version, also if an older one is served. */
    DocumentDelta newest(ReplicationTopic topic) {
        return sets.get(topic).since(0);
    }

    void becomeFresh() {
        staleSets.clear();
    }

    long calls() {
        return calls;
    }

    private DocumentSet served(ReplicationTopic topic) {
        return staleSets.getOrDefault(topic, sets.get(topic));
    }

    @Override
    public Mono<DocumentDelta> changes(ReplicationTopic topic, long since, long beyond, Duration wait) {
        calls++;
        return Flux.interval(Duration.ZERO, POLL_INTERVAL, time)
                .onBackpressureDrop()
                .take(wait.dividedBy(POLL_INTERVAL))
                .concatMap(tick ->
                        down ? Mono.<Long>error(new IllegalStateException("platform is down")) : Mono.just(tick))
                .filter(tick -> served(topic).version() > beyond)
                .next()
                .map(tick -> served(topic).since(since));
    }
}
