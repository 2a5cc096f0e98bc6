package org.apricotstack.serving.observe;

import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.apricotstack.core.http.HeadViolation;

/** Counters of responses of upstreams that are not forwarded as they are. */
public final class UpstreamResponseMetrics {

    private final Map<UnmatchedResponseCause, Counter> unmatched;
    private final Map<UnmatchedResponseOutcome, Counter> outcomes;
    private final Counter unmatchedLinesSuppressed;
    private final Map<HeadViolation, Counter> malformed;
    private final Counter malformedLinesSuppressed;

    /** Creates the counters. */
    UpstreamResponseMetrics(MetricRegistry registry) {
        unmatched = EnumCounters.create(
                registry, UnmatchedResponseCause.class, cause -> "unmatched_responses." + cause.code());
        outcomes = EnumCounters.create(
                registry, UnmatchedResponseOutcome.class, outcome -> "unmatched_responses.outcome." + outcome.code());
        unmatchedLinesSuppressed = registry.counter("unmatched_responses.lines_suppressed");
        malformed = EnumCounters.create(
                registry, HeadViolation.class, violation -> "malformed_responses." + violation.code());
        malformedLinesSuppressed = registry.counter("malformed_responses.lines_suppressed");
    }

    /**
     * Counts a response that is not known to belong to the request in flight on its connection.
     *
     * @param cause why
     * @param outcome what became of it
     */
    public void unmatched(UnmatchedResponseCause cause, UnmatchedResponseOutcome outcome) {
        unmatched.get(cause).inc();
        outcomes.get(outcome).inc();
    }

    /** Counts an unmatched response whose log line is omitted, as there were too many. */
    public void unmatchedLineSuppressed() {
        unmatchedLinesSuppressed.inc();
    }

    /**
     * Counts a response whose head violates HTTP.
     *
     * @param violation what it violates
     */
    public void malformed(HeadViolation violation) {
        malformed.get(violation).inc();
    }

    /** Counts a malformed response whose log line is omitted, as there were too many. */
    public void malformedLineSuppressed() {
        malformedLinesSuppressed.inc();
    }
}
