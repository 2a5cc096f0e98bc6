package org.apricotstack.core.engine;

/**
 * Allowances of a placement for prediction errors and scarce engines.
 *
 * @param tokenGapSpread spread of the error of a predicted token gap relative to its target; a larger one keeps
 *     prefill away from engines that decode
 * @param scarcityThreshold mean utilization of the engines from which engine time has a price; with a smaller one
 *     prompts start to wait earlier
 */
public record PlacementMargins(double tokenGapSpread, double scarcityThreshold) {

    /** The margins that routers use. */
    public static final PlacementMargins STANDARD = new PlacementMargins(Lateness.TOKEN_GAP_SPREAD, 0.4);
}
