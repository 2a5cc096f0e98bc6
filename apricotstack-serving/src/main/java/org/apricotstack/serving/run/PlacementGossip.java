package org.apricotstack.serving.run;

import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.id.UpstreamId;

/** Reports this router's placements and observations of upstreams to the other routers. */
public interface PlacementGossip {

    /**
     * Reports a new placement.
     *
     * @param placement the placement
     * @param limitMillis longest time that the request may take, in milliseconds
     */
    void placementStarted(EnginePlacement placement, long limitMillis);

    /**
     * Reports that the prefill of a placement has ended and decoding has started.
     *
     * @param placement the placement
     */
    void decodeStarted(EnginePlacement placement);

    /**
     * Reports the end of a placement.
     *
     * @param placement the placement
     */
    void placementEnded(EnginePlacement placement);

    /**
     * Returns whether the other routers have reported their placements to this one.
     *
     * @return {@code false} for some time after the start
     */
    boolean hasPeerPlacements();

    /**
     * Reports that an upstream failed and is avoided.
     *
     * @param upstream the upstream
     * @param avoidMillis time for which it is avoided, in milliseconds
     */
    void upstreamAvoided(UpstreamId upstream, long avoidMillis);

    /**
     * Reports that an answer announced the drain of an upstream or its end.
     *
     * @param upstream the upstream
     */
    void drainChanged(UpstreamId upstream);
}
