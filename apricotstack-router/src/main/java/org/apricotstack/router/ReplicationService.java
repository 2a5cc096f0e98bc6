package org.apricotstack.router;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.BiFunction;

import org.apricotstack.adapters.metrics.RouterMetrics;
import org.apricotstack.core.configuration.FleetConfiguration;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.membership.Roster;
import org.apricotstack.core.replication.ApplyResult;
import org.apricotstack.core.replication.DocumentDelta;
import org.apricotstack.core.replication.DocumentReplica;
import org.apricotstack.core.replication.DocumentValidator;
import org.apricotstack.core.replication.FetchPlanner;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.replication.StartGate;
import org.apricotstack.core.time.MonotonicClock;
import org.tinylog.Logger;
import reactor.core.publisher.Mono;

/** Maintains the replicas of the document sets, fetches newer versions from peers, and notifies of adopted versions. */
final class ReplicationService {

    private final DocumentReplica<FleetConfiguration> configuration;
    private final DocumentReplica<Roster> roster;
    private final Map<ReplicationTopic, FetchPlanner> planners = new EnumMap<>(ReplicationTopic.class);
    private final StartGate gate = new StartGate();
    private final RouterMetrics metrics;
    private final MonotonicClock clock;
    private BiFunction<HostId, ReplicationTopic, Mono<DocumentDelta>> fetcher = (host, topic) -> Mono.empty();
    private Runnable onAdopted = () -> {};
    private volatile long adoptedMillis;

    /**
     * Creates empty replicas.
     *
     * @param configurations validates configurations
     * @param rosters validates rosters
     * @param metrics the metrics
     * @param clock the local clock
     */
    ReplicationService(
            DocumentValidator<FleetConfiguration> configurations,
            DocumentValidator<Roster> rosters,
            RouterMetrics metrics,
            MonotonicClock clock) {
        this.configuration = new DocumentReplica<>(configurations);
        this.roster = new DocumentReplica<>(rosters);
        this.metrics = metrics;
        this.clock = clock;
        for (ReplicationTopic topic : ReplicationTopic.values()) {
            planners.put(topic, new FetchPlanner());
        }
    }

    /** Sets the function that fetches from a peer and the callback for adopted versions. */
    void connect(BiFunction<HostId, ReplicationTopic, Mono<DocumentDelta>> newFetcher, Runnable newOnAdopted) {
        fetcher = newFetcher;
        onAdopted = newOnAdopted;
    }

    /** Returns the replica of a document set. */
    DocumentReplica<?> replica(ReplicationTopic topic) {
        return topic == ReplicationTopic.CONFIGURATION ? configuration : roster;
    }

    /** Returns the configuration in force, or {@code null}. */
    FleetConfiguration configuration() {
        return configuration.value();
    }

    /** Returns the roster in force. */
    Roster roster() {
        Roster current = roster.value();
        return current == null ? Roster.EMPTY : current;
    }

    /** Returns the gate that keeps a new process from serving too early. */
    StartGate gate() {
        return gate;
    }

    /**
     * Returns whether this router may serve: the gate is open for its configuration, and it has a roster.
     *
     * <p>A router that served without a roster would be no router's neighbour and would never be selected to watch the
     * platform. It would stay isolated permanently.
     */
    boolean isOpen() {
        return roster.version() > 0 && gate.isOpen(configuration.version());
    }

    /** Returns the versions that are sent to peers: none while this router does not serve. */
    Map<ReplicationTopic, Long> versions() {
        Map<ReplicationTopic, Long> versions = new EnumMap<>(ReplicationTopic.class);
        if (isOpen()) {
            for (ReplicationTopic topic : ReplicationTopic.values()) {
                versions.put(topic, replica(topic).version());
            }
        }
        return versions;
    }

    /** Offers a delta and returns the result. */
    ApplyResult offer(ReplicationTopic topic, DocumentDelta delta) {
        ApplyResult applied = replica(topic).offer(delta);
        metrics.deltaApplied(topic, applied);
        if (applied == ApplyResult.ADOPTED) {
            if (topic == ReplicationTopic.CONFIGURATION) {
                adoptedMillis = clock.millis();
                Logger.info("event=configuration_adopted version={}", delta.to());
            }
            onAdopted.run();
        } else if (applied == ApplyResult.REJECTED) {
            Logger.warn(
                    "event=version_rejected topic={} version={} first_problem=\"{}\"",
                    topic,
                    delta.to(),
                    replica(topic).rejection().problems().get(0));
        }
        return applied;
    }

    /** Receives the versions of a serving peer, and fetches those that are newer. */
    void versionsReported(HostId peer, Map<ReplicationTopic, Long> versions) {
        Long configurationVersion = versions.get(ReplicationTopic.CONFIGURATION);
        if (configurationVersion != null) {
            gate.recordServingPeer(configurationVersion);
        }
        versions.forEach((topic, version) -> fetch(
                topic,
                planners.get(topic)
                        .versionReported(peer, version, replica(topic).version())));
    }

    /** Fetches a document set from a peer; does nothing if the peer is {@code null}. */
    private void fetch(ReplicationTopic topic, HostId peer) {
        if (peer == null) {
            return;
        }
        fetcher.apply(peer, topic)
                .subscribe(
                        delta -> offer(topic, delta),
                        error -> fetchEnded(topic, peer, false),
                        () -> fetchEnded(topic, peer, true));
    }

    /** Records the end of a fetch and starts the next one if needed. */
    private void fetchEnded(ReplicationTopic topic, HostId peer, boolean succeeded) {
        long version = replica(topic).version();
        fetch(topic, planners.get(topic).fetchEnded(peer, succeeded, version));
    }

    /** Returns the time since the configuration in force was adopted, in milliseconds. */
    long ageMillis() {
        return clock.millis() - adoptedMillis;
    }
}
