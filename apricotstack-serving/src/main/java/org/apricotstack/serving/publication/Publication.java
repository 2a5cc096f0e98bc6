package org.apricotstack.serving.publication;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.Revisions;

/**
 * A document as the platform published it.
 *
 * @param upstream the upstream that it describes, whichever start, or {@code null} for the configuration
 * @param revision the platform's revision of it, see {@link Revisions}; grows with each change
 * @param content its bytes; empty if it was removed
 * @param removed whether it was removed
 */
public record Publication(UpstreamId upstream, long revision, byte[] content, boolean removed) {

    /**
     * Tells whether it is the configuration.
     *
     * @return {@code false} for an upstream
     */
    public boolean isConfiguration() {
        return upstream == null;
    }
}
