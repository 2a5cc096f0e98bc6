package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.wire.news.NamedLimit;

/** Converts rate limits between wire messages and the types of the core. */
final class LimitMessages {

    private LimitMessages() {}

    /** Encodes a limit in force. */
    static NamedLimit inForce(UpstreamId upstream, RateLimit limit, long nowMillis) {
        return NamedLimit.newBuilder()
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setPerSecond(limit.perSecond())
                .setAgoMillis(Math.max(0, nowMillis - limit.advertisedMillis()))
                .build();
    }

    /** Encodes the limit of an upstream that advertises none. */
    static NamedLimit notNamed(UpstreamId upstream, RateLimit limit, long nowMillis) {
        return inForce(upstream, limit, nowMillis).toBuilder().setNotNamed(true).build();
    }

    /** Encodes that an upstream advertises no limit any more. */
    static NamedLimit ended(UpstreamId upstream, long atMillis, long nowMillis) {
        return NamedLimit.newBuilder()
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setAgoMillis(Math.max(0, nowMillis - atMillis))
                .setEnded(true)
                .build();
    }

    /** Decodes the upstream. */
    static UpstreamId upstream(NamedLimit limitMessage) {
        return new UpstreamId(limitMessage.getUpstream(), limitMessage.getIncarnation());
    }

    /** Decodes a limit; a negative one or NaN counts as 0. */
    static RateLimit limit(NamedLimit limitMessage, long nowMillis) {
        double perSecond = limitMessage.getPerSecond();
        return new RateLimit(perSecond > 0 ? perSecond : 0, atMillis(limitMessage, nowMillis));
    }

    /** Decodes the time of the response that advertised the limit. */
    static long atMillis(NamedLimit limitMessage, long nowMillis) {
        return nowMillis - Math.max(0, limitMessage.getAgoMillis());
    }
}
