package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.wire.news.NamedLimit;

/** Translates between what routers tell each other of rate limits and the types of the core. */
final class LimitMessages {

    private LimitMessages() {}

    /** Writes a limit that holds. */
    static NamedLimit named(UpstreamId upstream, RateLimit limit, long nowMillis) {
        return NamedLimit.newBuilder()
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setPerSecond(limit.perSecond())
                .setAgoMillis(Math.max(0, nowMillis - limit.advertisedMillis()))
                .build();
    }

    /** Writes that an upstream names no limit any more. */
    static NamedLimit ended(UpstreamId upstream, long atMillis, long nowMillis) {
        return NamedLimit.newBuilder()
                .setUpstream(upstream.value())
                .setIncarnation(upstream.incarnation())
                .setAgoMillis(Math.max(0, nowMillis - atMillis))
                .setEnded(true)
                .build();
    }

    /** Reads which upstream is meant. */
    static UpstreamId upstream(NamedLimit named) {
        return new UpstreamId(named.getUpstream(), named.getIncarnation());
    }

    /** Reads a limit; one that is no number, or negative, counts as 0. */
    static RateLimit limit(NamedLimit named, long nowMillis) {
        double perSecond = named.getPerSecond();
        return new RateLimit(perSecond > 0 ? perSecond : 0, atMillis(named, nowMillis));
    }

    /** Reads when an answer showed it. */
    static long atMillis(NamedLimit named, long nowMillis) {
        return nowMillis - Math.max(0, named.getAgoMillis());
    }
}
