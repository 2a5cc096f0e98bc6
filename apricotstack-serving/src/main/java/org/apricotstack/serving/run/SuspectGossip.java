package org.apricotstack.serving.run;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.suspect.RequestTrait;
import org.apricotstack.core.suspect.SuspectedTrait;

/** Reports requests that were in flight when upstreams crashed to the other routers. */
public interface SuspectGossip {

    /**
     * Reports the crash of an upstream.
     *
     * @param crash what was in flight there
     * @param repeated whether other upstreams crashed before with any of it in flight
     */
    void upstreamCrashed(CrashReport crash, boolean repeated);

    /**
     * Reports a suspected request or prompt part to all routers, including standby routers, which callers may send it
     * to.
     *
     * @param suspect the suspected request or prompt part
     */
    void broadcast(SuspectedTrait suspect);

    /**
     * Reports the start of a suspected request's trial.
     *
     * @param trait the request, or the prompt part for which it is tried
     * @param upstream the upstream that runs the trial
     * @param limitMillis longest time that the trial may take, in milliseconds
     */
    void trialStarted(RequestTrait trait, UpstreamId upstream, long limitMillis);

    /**
     * Reports the end of a suspected request's trial.
     *
     * @param trait the request, or the prompt part for which it was tried
     */
    void trialEnded(RequestTrait trait);

    /**
     * Reports that a request or prompt part is no longer suspected because an upstream completed the request.
     *
     * @param trait the request or prompt part
     */
    void served(RequestTrait trait);
}
