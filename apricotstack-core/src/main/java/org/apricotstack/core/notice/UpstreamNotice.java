package org.apricotstack.core.notice;

import org.apricotstack.core.ratelimit.AdvertisedCold;
import org.apricotstack.core.ratelimit.AdvertisedLimit;

/**
 * The state of an upstream that the head of one of its responses advertises.
 *
 * @param limit the rate limit
 * @param drain the drain state
 * @param backOff the back-off requested from this router
 * @param cold how long the upstream stays cold
 */
public record UpstreamNotice(
        AdvertisedLimit limit, AdvertisedDrain drain, AdvertisedBackOff backOff, AdvertisedCold cold) {

    /** A response that advertises nothing. */
    public static final UpstreamNotice NONE =
            new UpstreamNotice(AdvertisedLimit.ABSENT, AdvertisedDrain.ABSENT, AdvertisedBackOff.ABSENT);

    /**
     * Creates a notice that does not state whether the upstream is cold.
     *
     * @param limit the rate limit
     * @param drain the drain state
     * @param backOff the back-off requested from this router
     */
    public UpstreamNotice(AdvertisedLimit limit, AdvertisedDrain drain, AdvertisedBackOff backOff) {
        this(limit, drain, backOff, AdvertisedCold.ABSENT);
    }
}
