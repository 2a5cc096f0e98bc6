package org.apricotstack.core.replication;

import java.time.Duration;

import reactor.core.publisher.Mono;

/** Port: the platform's documents, which can be read and watched, and not written. */
@FunctionalInterface
public interface PlatformDocuments {

    /**
     * Waits for changes.
     *
     * @param topic the document set
     * @param since version from which the changes are wanted
     * @param beyond answers as soon as there is a version after this one
     * @param wait how long to wait at most
     * @return the changes, or empty if there were none in that time
     */
    Mono<DocumentDelta> changes(ReplicationTopic topic, long since, long beyond, Duration wait);
}
