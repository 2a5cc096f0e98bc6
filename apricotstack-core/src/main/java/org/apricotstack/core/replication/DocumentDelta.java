package org.apricotstack.core.replication;

import java.util.List;
import java.util.Map;

/**
 * The changes of a document set between two versions.
 *
 * @param from the version that the receiver must have at least; 0 if {@code full}
 * @param to the version that the receiver has after applying the delta
 * @param full whether {@code changed} is the complete set
 * @param changed documents that changed after {@code from}
 * @param removed keys of documents removed after {@code from}, with the version that removed them
 */
public record DocumentDelta(long from, long to, boolean full, List<Document> changed, Map<String, Long> removed) {}
