package org.apricotstack.core.notice;

import org.apricotstack.core.ratelimit.AdvertisedLimit;

/**
 * The state of an upstream that the head of one of its responses advertises.
 *
 * @param limit the rate limit
 * @param drain the drain state
 * @param backOff the back-off requested from this router
 */
public record UpstreamNotice(AdvertisedLimit limit, AdvertisedDrain drain, AdvertisedBackOff backOff) {

    /** A response that advertises nothing. */
    public static final UpstreamNotice NONE =
            new UpstreamNotice(AdvertisedLimit.ABSENT, AdvertisedDrain.ABSENT, AdvertisedBackOff.ABSENT);
}
