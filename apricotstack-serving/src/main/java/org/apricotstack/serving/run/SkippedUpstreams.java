package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.upstream.UpstreamEntry;

/**
 * The upstreams of a service that are skipped now because of their notices.
 *
 * @param rateLimited upstreams whose rate limit is used up
 * @param draining upstreams that announced a drain
 * @param backingOff upstreams that requested a back-off
 */
record SkippedUpstreams(List<UpstreamEntry> rateLimited, List<UpstreamEntry> draining, List<UpstreamEntry> backingOff) {

    /** No upstream is skipped. */
    static final SkippedUpstreams NONE = new SkippedUpstreams(List.of(), List.of(), List.of());
}
