package org.apricotstack.serving;

import org.apricotstack.serving.http.MalformedResponse;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.http.UnmatchedResponse;
import org.apricotstack.serving.http.UpstreamResponseObserver;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.observe.LineRate;
import org.apricotstack.serving.observe.ServingMetrics;

/**
 * Counts and logs responses of upstreams that violate HTTP, or that are not known to belong to the request in flight on
 * their connection.
 */
final class UpstreamResponseLog implements UpstreamResponseObserver {

    /** Maximum of lines in a second, so that an upstream that repeats its responses does not displace other lines. */
    static final int MAX_LINES_PER_SECOND = 10;

    /** Maximum length of an upstream's id in a line, in characters. */
    static final int MAX_ID_CHARS = 64;

    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final LineRate lines;
    private final LineRate malformedLines;

    /** Creates a log. */
    UpstreamResponseLog(ServingLoop loop, DecisionLog log, ServingMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
        this.lines = new LineRate(MAX_LINES_PER_SECOND, loop::nowMillis);
        this.malformedLines = new LineRate(MAX_LINES_PER_SECOND, loop::nowMillis);
    }

    @Override
    public void unmatched(UnmatchedResponse response) {
        metrics.upstreamResponses().unmatched(response.cause(), response.outcome());
        if (!lines.take()) {
            metrics.upstreamResponses().unmatchedLineSuppressed();
            return;
        }
        log.line("unmatched_response")
                .put("request", bounded(response.requestId()))
                .put("response_id", bounded(response.responseId()))
                .put("upstream", response.upstream().toString())
                .put(
                        "through",
                        response.relay() == null ? null : response.relay().toString())
                .put("connection", response.connection())
                .put("earlier_requests", response.earlierRequests())
                .put("status", response.status())
                .put("cause", response.cause().code())
                .put("outcome", response.outcome().code())
                .write();
    }

    @Override
    public void malformed(MalformedResponse response) {
        metrics.upstreamResponses().malformed(response.violation());
        if (!malformedLines.take()) {
            metrics.upstreamResponses().malformedLineSuppressed();
            return;
        }
        log.line("malformed_response")
                .put("request", bounded(response.requestId()))
                .put("upstream", response.upstream().toString())
                .put(
                        "through",
                        response.relay() == null ? null : response.relay().toString())
                .put("connection", response.connection())
                .put("earlier_requests", response.earlierRequests())
                .put("cause", response.violation().code())
                .write();
    }

    /** Returns the first characters of an id; {@code null} for none. */
    private static String bounded(String id) {
        return id == null || id.length() <= MAX_ID_CHARS ? id : id.substring(0, MAX_ID_CHARS);
    }
}
