package org.apricotstack.core.suspect;

import java.util.List;
import java.util.stream.Collectors;

import org.apricotstack.core.id.UpstreamId;

/**
 * A snapshot of a suspected request, for operators and other routers.
 *
 * @param request digest of the request
 * @param crashes the crashes of upstreams at which it was in flight, in the order in which they were learned
 * @param sinceMillis time of the first crash
 * @param cause whether it was identified as the cause
 */
public record SuspectedRequest(RequestDigest request, List<ReportedCrash> crashes, long sinceMillis, boolean cause) {

    /**
     * A crash of an upstream at which a request was in flight.
     *
     * @param upstream the incarnation that crashed
     * @param answerStarted whether it had sent part of the answer
     * @param ageMillis time since the crash, in milliseconds
     */
    public record ReportedCrash(UpstreamId upstream, boolean answerStarted, long ageMillis) {}

    /** Creates a snapshot with a copy of the list. */
    public SuspectedRequest {
        crashes = List.copyOf(crashes);
    }

    /**
     * Joins the names of the upstreams.
     *
     * @return the crashed incarnations, separated by commas
     */
    public String upstreams() {
        return crashes.stream().map(crash -> crash.upstream().toString()).collect(Collectors.joining(","));
    }
}
