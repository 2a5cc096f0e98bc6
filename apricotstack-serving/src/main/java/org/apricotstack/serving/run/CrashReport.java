package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.PromptPart;
import org.apricotstack.core.suspect.RequestDigest;

/**
 * The crash of an upstream, as observed by this router.
 *
 * @param upstream the crashed incarnation
 * @param requests requests in flight there without any part of a response
 * @param answerStarted requests in flight there with a part of the response
 * @param parts prompt parts that any of these requests may share with others
 */
public record CrashReport(
        UpstreamId upstream, List<RequestDigest> requests, List<RequestDigest> answerStarted, List<PromptPart> parts) {

    /** Creates a report with copies of the lists. */
    public CrashReport {
        requests = List.copyOf(requests);
        answerStarted = List.copyOf(answerStarted);
        parts = List.copyOf(parts);
    }

    /**
     * Returns whether the report says anything.
     *
     * @return whether no request or part was in flight
     */
    public boolean isEmpty() {
        return requests.isEmpty() && answerStarted.isEmpty() && parts.isEmpty();
    }
}
