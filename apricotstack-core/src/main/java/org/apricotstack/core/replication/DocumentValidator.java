package org.apricotstack.core.replication;

/**
 * Turns a version of a document set into the value that it describes. The result depends on the documents alone.
 *
 * @param <T> the type of the value
 */
@FunctionalInterface
public interface DocumentValidator<T> {

    /**
     * Validates one version.
     *
     * @param documents the documents
     * @return the value, or the problems that forbid it
     */
    Validated<T> validate(DocumentSet documents);
}
