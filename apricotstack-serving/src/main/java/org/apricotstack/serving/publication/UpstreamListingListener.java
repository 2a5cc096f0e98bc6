package org.apricotstack.serving.publication;

import org.apricotstack.core.upstream.UpstreamEntry;

/** Receives new entries of upstreams. */
@FunctionalInterface
public interface UpstreamListingListener {

    /**
     * Receives an entry.
     *
     * @param entry the entry
     * @param started whether the upstream was listed for the first time, in a later list than the first one
     */
    void listed(UpstreamEntry entry, boolean started);
}
