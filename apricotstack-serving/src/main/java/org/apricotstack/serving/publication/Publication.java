package org.apricotstack.serving.publication;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.Revisions;

/**
 * A document as published by the platform.
 *
 * @param upstream the upstream that it describes, without an incarnation, or {@code null} for the configuration
 * @param revision the platform's revision of the document, see {@link Revisions}; increases with each change
 * @param content the bytes of the document; empty if it was removed
 * @param removed whether it was removed
 */
public record Publication(UpstreamId upstream, long revision, byte[] content, boolean removed) {

    /**
     * Returns whether this document is the configuration.
     *
     * @return {@code true} for the configuration, {@code false} for an upstream
     */
    public boolean isConfiguration() {
        return upstream == null;
    }
}
