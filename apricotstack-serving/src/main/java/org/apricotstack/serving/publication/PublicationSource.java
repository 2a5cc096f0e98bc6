package org.apricotstack.serving.publication;

import java.util.List;

import reactor.core.publisher.Mono;

/**
 * Reads what the platform publishes; each call ends by itself with a result or an error. Revisions are those of
 * {@link org.apricotstack.core.upstream.Revisions}.
 */
public interface PublicationSource {

    /**
     * Everything that is published.
     *
     * @param revision the platform's revision before the reading began; later changes may be missing
     * @param documents the configuration, if there is one, and all upstreams
     */
    record Snapshot(long revision, List<Publication> documents) {}

    /**
     * What was changed since a revision.
     *
     * @param revision the platform's revision up to which the changes go
     * @param documents the changes in their order
     * @param historyGone whether the platform no longer knows them, or began another history, so that everything has to
     *     be read
     */
    record Changes(long revision, List<Publication> documents, boolean historyGone) {}

    /**
     * Reads everything.
     *
     * @return the documents
     */
    Mono<Snapshot> readAll();

    /**
     * Waits for changes.
     *
     * @param after revision up to which changes are known
     * @param waitMillis time after which the platform answers without a change, in milliseconds
     * @return the changes, possibly none
     */
    Mono<Changes> awaitChanges(long after, long waitMillis);
}
