package org.apricotstack.serving.run;

import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.id.UpstreamId;

/** Tells the other routers what this one decided and saw. */
public interface PlacementGossip {

    /**
     * Tells of a placement.
     *
     * @param placement the placement
     * @param limitMillis longest time that it may take, in milliseconds
     */
    void placed(EnginePlacement placement, long limitMillis);

    /**
     * Tells that a prompt was read.
     *
     * @param placement the placement
     */
    void decodeStarted(EnginePlacement placement);

    /**
     * Tells that a placement is over.
     *
     * @param placement the placement
     */
    void ended(EnginePlacement placement);

    /**
     * Tells whether the other routers have told this one what they placed.
     *
     * @return {@code false} for a while after the start
     */
    boolean hasPeerPlacements();

    /**
     * Tells that an upstream failed.
     *
     * @param upstream the upstream
     * @param avoidMillis time for which it is avoided, in milliseconds
     */
    void avoided(UpstreamId upstream, long avoidMillis);

    /**
     * Tells that an answer showed that an upstream leaves, or no longer does.
     *
     * @param upstream the upstream
     */
    void drainChanged(UpstreamId upstream);
}
