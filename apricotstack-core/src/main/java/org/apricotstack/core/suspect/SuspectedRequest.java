package org.apricotstack.core.suspect;

import java.util.List;
import java.util.stream.Collectors;

import org.apricotstack.core.id.UpstreamId;

/**
 * A suspected request as operators and other routers see it.
 *
 * @param request tells it apart
 * @param crashes the upstreams that ended under it, in the order in which they were heard of
 * @param sinceMillis when the first of them ended
 * @param cause whether it was found to be the cause
 */
public record SuspectedRequest(RequestDigest request, List<ReportedCrash> crashes, long sinceMillis, boolean cause) {

    /**
     * An upstream that ended under a request.
     *
     * @param upstream the start of the upstream
     * @param answerStarted whether it had sent some of the answer
     * @param ageMillis how long ago, in milliseconds
     */
    public record ReportedCrash(UpstreamId upstream, boolean answerStarted, long ageMillis) {}

    /** Copies the list. */
    public SuspectedRequest {
        crashes = List.copyOf(crashes);
    }

    /**
     * Joins the names of the upstreams.
     *
     * @return the starts that ended, with commas between
     */
    public String upstreams() {
        return crashes.stream().map(crash -> crash.upstream().toString()).collect(Collectors.joining(","));
    }
}
