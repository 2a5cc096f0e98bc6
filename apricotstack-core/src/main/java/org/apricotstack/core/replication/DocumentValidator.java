package org.apricotstack.core.replication;

/**
 * Converts a version of a document set to the value that it describes. The result depends only on the documents.
 *
 * @param <T> the type of the value
 */
@FunctionalInterface
public interface DocumentValidator<T> {

    /**
     * Validates one version.
     *
     * @param documents the documents
     * @return the value, or the problems that make it invalid
     */
    Validated<T> validate(DocumentSet documents);
}
