package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.upstream.UpstreamEntry;

/**
 * The upstreams of a service that get no requests now, by what their answers said.
 *
 * @param rateLimited those that have got as many as they said that they take
 * @param draining those that announced that they leave
 * @param backingOff those that asked for a back-off
 */
record SkippedUpstreams(List<UpstreamEntry> rateLimited, List<UpstreamEntry> draining, List<UpstreamEntry> backingOff) {

    /** No upstream is passed over. */
    static final SkippedUpstreams NONE = new SkippedUpstreams(List.of(), List.of(), List.of());
}
