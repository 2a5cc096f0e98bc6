package org.apricotstack.serving.observe;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.ColdState;

/** Logs which upstreams are cold. */
public final class ColdLog {

    private final DecisionLog log;

    /**
     * Creates a log.
     *
     * @param log receives the lines
     */
    public ColdLog(DecisionLog log) {
        this.log = log;
    }

    /**
     * Logs that an upstream is cold.
     *
     * @param upstream the incarnation
     * @param state its cold period
     * @param reporter the router that reported it, or "own" if this router learnt it itself
     * @param nowMillis the time
     */
    public void cold(UpstreamId upstream, ColdState state, String reporter, long nowMillis) {
        log.line("upstream_cold")
                .put("upstream", upstream.value())
                .put("incarnation", upstream.incarnation())
                .put("remaining_millis", state.untilMillis() - nowMillis)
                .put("source", state.source().code())
                .put("reporter", reporter)
                .put("age_millis", nowMillis - state.learntMillis())
                .write();
    }

    /**
     * Logs that an upstream is warm.
     *
     * @param upstream the incarnation
     * @param state the cold period that is over
     * @param nowMillis the time
     */
    public void warm(UpstreamId upstream, ColdState state, long nowMillis) {
        log.line("upstream_warm")
                .put("upstream", upstream.value())
                .put("incarnation", upstream.incarnation())
                .put("source", state.source().code())
                .put("age_millis", nowMillis - state.sinceMillis())
                .write();
    }
}
