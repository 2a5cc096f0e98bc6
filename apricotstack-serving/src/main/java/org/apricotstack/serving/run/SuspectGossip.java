package org.apricotstack.serving.run;

import java.util.List;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestDigest;
import org.apricotstack.core.suspect.SuspectedRequest;

/** Tells the other routers of requests under which upstreams end. */
public interface SuspectGossip {

    /**
     * Tells that an upstream ended.
     *
     * @param upstream the start that ended
     * @param requests what was in flight there and had got nothing of its answer
     * @param answerStarted what had got some of it
     * @param repeated whether other upstreams ended under one of these requests before
     */
    void upstreamCrashed(
            UpstreamId upstream, List<RequestDigest> requests, List<RequestDigest> answerStarted, boolean repeated);

    /**
     * Tells all that is known of a request, also to routers that stand by: callers may come to them with it.
     *
     * @param suspect what is known
     */
    void broadcast(SuspectedRequest suspect);

    /**
     * Tells that a suspected request is sent.
     *
     * @param request the request
     * @param upstream where it is sent
     * @param limitMillis longest time that it may take, in milliseconds
     */
    void trialStarted(RequestDigest request, UpstreamId upstream, long limitMillis);

    /**
     * Tells that a suspected request is at no upstream any more.
     *
     * @param request the request
     */
    void trialEnded(RequestDigest request);

    /**
     * Tells that a request is not suspected any more, as an upstream ran it to its end.
     *
     * @param request the request
     */
    void served(RequestDigest request);
}
