package org.apricotstack.serving.publication;

import java.util.List;
import java.util.Optional;

import reactor.core.publisher.Mono;

/**
 * Reads documents that the platform publishes. Each call ends by itself with a result or an error. Revisions are those
 * of {@link org.apricotstack.core.upstream.Revisions}.
 */
public interface PublicationSource {

    /** Time without a byte after which a call of a full read fails, in milliseconds; a slow platform takes 0.2 s. */
    long READ_SILENCE_MILLIS = 1_500;

    /**
     * Timeout of a call of a full read whose response keeps arriving, in milliseconds. If all routers start at once, a
     * large configuration takes many times as long as alone; a call that was given up then would only be repeated.
     */
    long READ_TIMEOUT_MILLIS = 10_000;

    /** Timeout of a check, in milliseconds; twice the response time of a slow platform. */
    long CHECK_TIMEOUT_MILLIS = 400;

    /** Added to the time that the platform is asked to wait, in milliseconds, for the timeout of a watch. */
    long WATCH_TIMEOUT_MARGIN_MILLIS = 1_000;

    /**
     * A snapshot of all published documents.
     *
     * @param revision the platform's revision before the snapshot was read; later changes may be missing
     * @param documents the configuration, if there is one, all upstreams, and all evacuations if they are followed
     */
    record Snapshot(long revision, List<Publication> documents) {}

    /**
     * The changes since a revision.
     *
     * @param revision the platform's revision up to which the changes go
     * @param documents the changed documents, in order of revision
     * @param resyncRequired whether a full snapshot has to be read, because the platform no longer has these changes
     *     or started another history
     */
    record Changes(long revision, List<Publication> documents, boolean resyncRequired) {}

    /**
     * The configuration as of one moment.
     *
     * @param revision the platform's revision, which counts changes of all documents
     * @param configuration the configuration, if there is one
     */
    record Check(long revision, Optional<Publication> configuration) {}

    /**
     * Reads the configuration and the platform's revision, with a short timeout.
     *
     * @return the state at the time of the response
     */
    Mono<Check> check();

    /**
     * Reads all published documents.
     *
     * @return the snapshot
     */
    Mono<Snapshot> readAll();

    /**
     * Watches for changes.
     *
     * @param after revision up to which changes are known already
     * @param waitMillis time after which the platform responds even without a change, in milliseconds
     * @return the changes; the list may be empty
     */
    Mono<Changes> awaitChanges(long after, long waitMillis);
}
