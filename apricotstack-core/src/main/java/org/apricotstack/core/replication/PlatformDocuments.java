package org.apricotstack.core.replication;

import java.time.Duration;

import reactor.core.publisher.Mono;

/** Port: read access to the platform's documents, and a watch for changes. */
@FunctionalInterface
public interface PlatformDocuments {

    /**
     * Waits for changes.
     *
     * @param topic the document set
     * @param since version since which changes are requested
     * @param beyond the watch answers as soon as there is a version after this one
     * @param wait maximum time to wait
     * @return the changes, or empty if there were none in that time
     */
    Mono<DocumentDelta> changes(ReplicationTopic topic, long since, long beyond, Duration wait);
}
