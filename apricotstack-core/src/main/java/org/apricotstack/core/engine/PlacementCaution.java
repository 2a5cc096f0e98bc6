package org.apricotstack.core.engine;

/**
 * How much a placement leaves in hand for what is not known yet.
 *
 * @param pauseSpread spread of the error of a predicted pause in relation to its target; a larger one keeps engines
 *     that write from reading
 * @param scarceFrom share of the engines in use from which their time has a price; a smaller one lets prompts wait
 *     sooner
 */
public record PlacementCaution(double pauseSpread, double scarceFrom) {

    /** What routers use. */
    public static final PlacementCaution STANDARD = new PlacementCaution(Lateness.PAUSE_SPREAD, 0.4);
}
