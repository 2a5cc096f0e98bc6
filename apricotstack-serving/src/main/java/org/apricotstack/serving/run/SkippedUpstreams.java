package org.apricotstack.serving.run;

import java.util.List;
import java.util.Map;

import org.apricotstack.core.upstream.UpstreamEntry;
import org.apricotstack.serving.observe.PassedOverCause;

/**
 * The upstreams of a service that are skipped now.
 *
 * @param byCause the upstreams for each reason that skips any
 */
record SkippedUpstreams(Map<PassedOverCause, List<UpstreamEntry>> byCause) {

    /** No upstream is skipped. */
    static final SkippedUpstreams NONE = new SkippedUpstreams(Map.of());

    /** Returns the upstreams that are skipped for a reason. */
    List<UpstreamEntry> of(PassedOverCause cause) {
        return byCause.getOrDefault(cause, List.of());
    }
}
