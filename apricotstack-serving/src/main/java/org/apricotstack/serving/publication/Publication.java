package org.apricotstack.serving.publication;

import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.Revisions;

/**
 * A document as published by the platform.
 *
 * @param upstream the upstream that it describes, without an incarnation; {@code null} if it describes none
 * @param evacuated the data centre that it asks to evacuate; {@code null} if it is no such request
 * @param revision the platform's revision of the document, see {@link Revisions}; increases with each change
 * @param content the bytes of the document; empty if it was removed
 * @param removed whether it was removed
 */
public record Publication(UpstreamId upstream, DataCentreId evacuated, long revision, byte[] content, boolean removed) {

    /**
     * Creates the document of an upstream or of the configuration.
     *
     * @param upstream the upstream; {@code null} for the configuration
     * @param revision the platform's revision of the document
     * @param content the bytes of the document
     * @param removed whether it was removed
     */
    public Publication(UpstreamId upstream, long revision, byte[] content, boolean removed) {
        this(upstream, null, revision, content, removed);
    }

    /**
     * Returns whether this document is the configuration.
     *
     * @return {@code false} for an upstream and for the evacuation of a data centre
     */
    public boolean isConfiguration() {
        return upstream == null && evacuated == null;
    }

    /**
     * Returns whether this document asks to evacuate a data centre.
     *
     * @return {@code false} for an upstream and for the configuration
     */
    public boolean isEvacuation() {
        return evacuated != null;
    }
}
