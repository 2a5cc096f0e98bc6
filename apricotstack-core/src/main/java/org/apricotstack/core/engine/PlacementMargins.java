package org.apricotstack.core.engine;

/**
 * How much a placement leaves in hand for what is not known yet.
 *
 * @param tokenGapSpread spread of the error of a predicted pause in relation to its target; a larger one keeps engines
 *     that write from prefill
 * @param scarcityThreshold share of the engines in use from which their time has a price; a smaller one lets
 * prompts wait
 *     sooner
 */
public record PlacementMargins(double tokenGapSpread, double scarcityThreshold) {

    /** What routers use. */
    public static final PlacementMargins STANDARD = new PlacementMargins(Lateness.TOKEN_GAP_SPREAD, 0.4);
}
