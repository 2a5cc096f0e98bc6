package org.apricotstack.core.replication;

import java.util.List;

import org.apricotstack.core.configuration.Problem;

/**
 * The copy of a document set in one process: the newest valid version that it was offered.
 *
 * <p>The version in force only increases. Offers of a stale platform, or of a peer that resumes with an old version,
 * therefore have no effect, and an accepted configuration never reverts.
 *
 * @param <T> the type of the value that the documents describe
 */
public final class DocumentReplica<T> {

    private final DocumentValidator<T> validator;
    private volatile State<T> state;
    private volatile Rejection rejection;

    /**
     * Creates an empty replica.
     *
     * @param validator decides which versions are valid
     */
    public DocumentReplica(DocumentValidator<T> validator) {
        this.validator = validator;
        this.state = new State<>(DocumentSet.EMPTY, null);
    }

    /**
     * Offers a delta from the platform or a peer.
     *
     * @param delta the delta
     * @return the result
     */
    public synchronized ApplyResult offer(DocumentDelta delta) {
        DocumentSet current = state.documents;
        if (delta.to() <= current.version()) {
            return ApplyResult.STALE;
        }
        if (!delta.full() && delta.from() > current.version()) {
            return ApplyResult.GAP;
        }
        DocumentSet next = current.with(delta);
        Validated<T> validated = validator.validate(next);
        if (!validated.isValid()) {
            rejection = new Rejection(delta.to(), validated.problems());
            return ApplyResult.REJECTED;
        }
        state = new State<>(next, validated.value());
        return ApplyResult.ADOPTED;
    }

    /**
     * Returns the value in force.
     *
     * @return the value, or {@code null} before any version was adopted
     */
    public T value() {
        return state.value;
    }

    /**
     * Returns the version in force.
     *
     * @return the version, 0 before any was adopted
     */
    public long version() {
        return state.documents.version();
    }

    /**
     * Returns the changes since a version.
     *
     * @param since the version that the receiver has
     * @return the delta up to the version in force
     */
    public DocumentDelta since(long since) {
        return state.documents.since(since);
    }

    /**
     * Returns the latest rejected version.
     *
     * @return the rejection, or {@code null}
     */
    public Rejection rejection() {
        return rejection;
    }

    /**
     * A rejected version.
     *
     * @param version the version
     * @param problems the reasons
     */
    public record Rejection(long version, List<Problem> problems) {}

    /**
     * Documents with the value that they describe.
     *
     * @param documents the documents
     * @param value what they describe
     * @param <T> the type of the value
     */
    private record State<T>(DocumentSet documents, T value) {}
}
