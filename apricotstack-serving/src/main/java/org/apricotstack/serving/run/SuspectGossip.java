package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectedRequest;

/** Reports requests that were in flight when upstreams crashed to the other routers. */
public interface SuspectGossip {

    /**
     * Reports the crash of an upstream.
     *
     * @param upstream the crashed incarnation
     * @param requests requests in flight there without any part of a response
     * @param answerStarted requests in flight there with a part of the response
     * @param repeated whether other upstreams crashed before with one of these requests in flight
     */
    void upstreamCrashed(
            UpstreamId upstream, List<RequestDigest> requests, List<RequestDigest> answerStarted, boolean repeated);

    /**
     * Reports a suspected request to all routers, including standby routers, which callers may send it to.
     *
     * @param suspect the suspected request
     */
    void broadcast(SuspectedRequest suspect);

    /**
     * Reports the start of a suspected request's trial.
     *
     * @param request the request
     * @param upstream the upstream that runs the trial
     * @param limitMillis longest time that the trial may take, in milliseconds
     */
    void trialStarted(RequestDigest request, UpstreamId upstream, long limitMillis);

    /**
     * Reports the end of a suspected request's trial.
     *
     * @param request the request
     */
    void trialEnded(RequestDigest request);

    /**
     * Reports that a request is no longer suspected because an upstream completed it.
     *
     * @param request the request
     */
    void served(RequestDigest request);
}
