package org.apricotstack.core.notice;

import org.apricotstack.core.ratelimit.AdvertisedLimit;

/**
 * All that the head of one answer says of the upstream that gave it.
 *
 * @param limit its rate limit
 * @param drain whether it leaves
 * @param backOff how long it wants nothing from this router
 */
public record UpstreamNotice(AdvertisedLimit limit, AdvertisedDrain drain, AdvertisedBackOff backOff) {

    /** An answer that says nothing of its upstream. */
    public static final UpstreamNotice NONE =
            new UpstreamNotice(AdvertisedLimit.ABSENT, AdvertisedDrain.ABSENT, AdvertisedBackOff.ABSENT);
}
