package org.apricotstack.core.suspect;

import java.util.List;
import java.util.stream.Collectors;

import org.apricotstack.core.id.UpstreamId;

/**
 * A snapshot of a suspected request or shared trait, for operators and other routers.
 *
 * @param trait the digest of the request, or the shared trait
 * @param crashes the crashes of upstreams at which a request with it was in flight, in the order in which they were
 *     learned
 * @param sinceMillis time of the first crash
 * @param servedBefore whether a request with the shared trait was served shortly before the first crash
 * @param cause whether it was identified as the cause
 */
public record SuspectedTrait(
        RequestTrait trait, List<ReportedCrash> crashes, long sinceMillis, boolean servedBefore, boolean cause) {

    /**
     * A crash of an upstream at which a request was in flight.
     *
     * @param upstream the incarnation that crashed
     * @param answerStarted whether it had sent part of the answer
     * @param ageMillis time since the crash, in milliseconds
     */
    public record ReportedCrash(UpstreamId upstream, boolean answerStarted, long ageMillis) {}

    /** Creates a snapshot with a copy of the list. */
    public SuspectedTrait {
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
