package org.apricotstack.serving.publication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.UpstreamEntry;

/** The documents from which the listed upstreams were decoded, for other routers. */
final class UpstreamDocuments {

    private final Map<UpstreamId, Publication> documents = new HashMap<>();

    /** Returns all documents. */
    List<Publication> all() {
        return List.copyOf(documents.values());
    }

    /** Keeps the document of an upstream. */
    void put(Publication document) {
        documents.put(document.upstream(), document);
    }

    /** Keeps a document if an entry was decoded from it. */
    void putIfSource(Publication document, UpstreamEntry listed) {
        if (listed != null && listed.revision() == document.revision()) {
            put(document);
        }
    }

    /** Drops the document of an upstream. */
    void remove(UpstreamId upstream) {
        documents.remove(upstream);
    }
}
