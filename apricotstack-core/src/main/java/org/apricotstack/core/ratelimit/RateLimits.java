package org.apricotstack.core.ratelimit;

import org.apricotstack.core.id.UpstreamId;

/** The rate limits in force. */
public interface RateLimits {

    /**
     * Returns the limit of an upstream.
     *
     * @param upstream the incarnation
     * @return its limit; {@code null} if none is in force
     */
    RateLimit find(UpstreamId upstream);

    /**
     * Tells whether no upstream is limited.
     *
     * @return whether no limit is in force
     */
    boolean isEmpty();
}
