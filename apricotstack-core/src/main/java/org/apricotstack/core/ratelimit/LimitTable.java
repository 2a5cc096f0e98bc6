package org.apricotstack.core.ratelimit;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.apricotstack.core.id.UpstreamId;

/**
 * The rate limits that upstreams advertised in their responses to this router or to other routers, which report them by
 * gossip.
 *
 * <p>Responses on different connections arrive out of order. So a limit is lowered at once, but raised or ended only by
 * a response to a request that was sent after the limit was last advertised. Limits are recorded per incarnation of an
 * upstream.
 */
public final class LimitTable implements RateLimits {

    /**
     * Time for which the limit of an unlisted upstream is kept, in milliseconds, as the upstream may be listed again.
     */
    private static final long UNLISTED_MILLIS = 60_000;

    /** Maximum number of ended limits to remember, so that delayed gossip messages don't restore them. */
    private static final int MAX_ENDS = 1_000;

    private final Map<UpstreamId, RateLimit> limits = new HashMap<>();
    private final Map<UpstreamId, Long> endsMillis = new LinkedHashMap<>();

    /**
     * Records the limit that a response advertises.
     *
     * @param upstream the incarnation that responded
     * @param advertised the advertised limit
     * @param sentMillis time at which the request was sent, or an earlier time
     * @param nowMillis time at which the response arrived
     * @return the change
     */
    public LimitChange answerReceived(
            UpstreamId upstream, AdvertisedLimit advertised, long sentMillis, long nowMillis) {
        return switch (advertised.kind()) {
            case ABSENT -> limitEnded(upstream, sentMillis);
            case UNREADABLE -> LimitChange.NONE;
            case STATED -> advertised(upstream, advertised.perSecond(), sentMillis, nowMillis);
        };
    }

    /** Records an advertised limit. */
    private LimitChange advertised(UpstreamId upstream, double perSecond, long sentMillis, long nowMillis) {
        RateLimit before = limits.get(upstream);
        if (before != null && perSecond > before.perSecond() && sentMillis <= before.advertisedMillis()) {
            return LimitChange.NONE;
        }
        return put(upstream, new RateLimit(perSecond, nowMillis), before);
    }

    /**
     * Records a limit that another router received.
     *
     * @param upstream the limited incarnation
     * @param reported the limit, with the time at which that router received it
     * @return the change
     */
    public LimitChange reportedByPeer(UpstreamId upstream, RateLimit reported) {
        RateLimit before = limits.get(upstream);
        boolean outdated = before == null
                ? reported.advertisedMillis() <= endsMillis.getOrDefault(upstream, Long.MIN_VALUE)
                : reported.advertisedMillis() <= before.advertisedMillis();
        return outdated ? LimitChange.NONE : put(upstream, reported, before);
    }

    /** Stores a limit. */
    private LimitChange put(UpstreamId upstream, RateLimit limit, RateLimit before) {
        limits.put(upstream, limit);
        endsMillis.remove(upstream);
        if (before == null) {
            return LimitChange.BEGAN;
        }
        return before.perSecond() == limit.perSecond() ? LimitChange.NONE : LimitChange.CHANGED;
    }

    /**
     * Ends the limit of an upstream that no longer advertises one.
     *
     * @param upstream the incarnation
     * @param atMillis time after which it has advertised no limit; limits advertised later are kept
     * @return the change
     */
    public LimitChange limitEnded(UpstreamId upstream, long atMillis) {
        RateLimit before = limits.get(upstream);
        if (before == null || before.advertisedMillis() >= atMillis) {
            return LimitChange.NONE;
        }
        limits.remove(upstream);
        endsMillis.put(upstream, atMillis);
        if (endsMillis.size() > MAX_ENDS) {
            endsMillis.remove(endsMillis.keySet().iterator().next());
        }
        return LimitChange.ENDED;
    }

    /**
     * Removes an incarnation of an upstream that no longer runs.
     *
     * @param upstream the incarnation
     * @return whether it was limited
     */
    public boolean forget(UpstreamId upstream) {
        endsMillis.remove(upstream);
        return limits.remove(upstream) != null;
    }

    /**
     * Removes the limits of unlisted upstreams that were last advertised more than a minute ago.
     *
     * @param listed tells whether an upstream is listed
     * @param nowMillis the time
     */
    public void expire(Predicate<UpstreamId> listed, long nowMillis) {
        limits.entrySet()
                .removeIf(entry -> nowMillis - entry.getValue().advertisedMillis() > UNLISTED_MILLIS
                        && !listed.test(entry.getKey()));
    }

    @Override
    public RateLimit find(UpstreamId upstream) {
        return limits.get(upstream);
    }

    @Override
    public boolean isEmpty() {
        return limits.isEmpty();
    }

    /**
     * Returns the time at which the limit of an upstream ended.
     *
     * @param upstream the incarnation
     * @return the time; {@code null} if a limit is in force or none is known to have ended
     */
    public Long endMillis(UpstreamId upstream) {
        return endsMillis.get(upstream);
    }

    /**
     * Returns all limits in force.
     *
     * @return an unmodifiable live view of the limits
     */
    public Map<UpstreamId, RateLimit> all() {
        return Collections.unmodifiableMap(limits);
    }
}
