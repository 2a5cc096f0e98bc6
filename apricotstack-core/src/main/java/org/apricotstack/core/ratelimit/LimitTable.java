package org.apricotstack.core.ratelimit;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.apricotstack.core.id.UpstreamId;

/**
 * The limits that upstreams named, as this router read them in answers and as other routers told.
 *
 * <p>Answers overtake each other on different connections. So a limit is lowered at once, but raised or ended only by
 * an answer to a request that was sent after the limit was last named. Each start of an upstream is limited by itself.
 */
public final class LimitTable {

    /** Time for which the limit of an upstream that is not listed is kept, in milliseconds: it may be listed again. */
    private static final long UNLISTED_MILLIS = 60_000;

    /** Ends that are remembered, so that older news do not bring the limit back. */
    private static final int MAX_ENDS = 1_000;

    private final Map<UpstreamId, RateLimit> limits = new HashMap<>();
    private final Map<UpstreamId, Long> endsMillis = new LinkedHashMap<>();

    /**
     * Takes in what an answer says.
     *
     * @param upstream the start that answered
     * @param stated what it says
     * @param sentMillis when the request was sent, or before
     * @param nowMillis when the answer came
     * @return what changed
     */
    public LimitChange answerReceived(
            UpstreamId upstream, AdvertisedLimit advertised, long sentMillis, long nowMillis) {
        return switch (advertised.kind()) {
            case ABSENT -> ended(upstream, sentMillis);
            case UNREADABLE -> LimitChange.NONE;
            case PRESENT -> advertised(upstream, advertised.perSecond(), sentMillis, nowMillis);
        };
    }

    /** Takes a limit in that an answer names. */
    private LimitChange advertised(UpstreamId upstream, double perSecond, long sentMillis, long nowMillis) {
        RateLimit before = limits.get(upstream);
        if (before != null && perSecond > before.perSecond() && sentMillis <= before.advertisedMillis()) {
            return LimitChange.NONE;
        }
        return put(upstream, new RateLimit(perSecond, nowMillis), before);
    }

    /**
     * Takes in that another router read a limit.
     *
     * @param upstream the start that is limited
     * @param told the limit, with the time at which that router read it
     * @return what changed
     */
    public LimitChange reportedByPeer(UpstreamId upstream, RateLimit reported) {
        RateLimit before = limits.get(upstream);
        boolean outdated = before == null
                ? reported.advertisedMillis() <= endsMillis.getOrDefault(upstream, Long.MIN_VALUE)
                : reported.advertisedMillis() <= before.advertisedMillis();
        return outdated ? LimitChange.NONE : put(upstream, reported, before);
    }

    /** Notes a limit. */
    private LimitChange put(UpstreamId upstream, RateLimit limit, RateLimit before) {
        limits.put(upstream, limit);
        endsMillis.remove(upstream);
        if (before == null) {
            return LimitChange.BEGAN;
        }
        return before.perSecond() == limit.perSecond() ? LimitChange.NONE : LimitChange.CHANGED;
    }

    /**
     * Takes in that an upstream named no limit.
     *
     * @param upstream the start
     * @param atMillis a time at which it had named the limit for the last time, or earlier
     * @return what changed
     */
    public LimitChange ended(UpstreamId upstream, long atMillis) {
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
     * Forgets a start of an upstream that is over.
     *
     * @param upstream the start
     * @return whether it was limited
     */
    public boolean forget(UpstreamId upstream) {
        endsMillis.remove(upstream);
        return limits.remove(upstream) != null;
    }

    /**
     * Forgets upstreams that have not been listed and have named no limit for long.
     *
     * @param listed tells whether an upstream is listed
     * @param nowMillis the time
     */
    public void expire(Predicate<UpstreamId> listed, long nowMillis) {
        limits.entrySet()
                .removeIf(entry -> nowMillis - entry.getValue().advertisedMillis() > UNLISTED_MILLIS
                        && !listed.test(entry.getKey()));
    }

    /**
     * Returns the limit of an upstream.
     *
     * @param upstream the start
     * @return its limit, or {@code null} if none holds
     */
    public RateLimit find(UpstreamId upstream) {
        return limits.get(upstream);
    }

    /**
     * Tells whether no upstream is limited.
     *
     * @return whether no limit holds
     */
    public boolean isEmpty() {
        return limits.isEmpty();
    }

    /**
     * Returns when an upstream had named its last limit for the last time, or earlier.
     *
     * @param upstream the start
     * @return the time; {@code null} if a limit holds, or none is known to have held
     */
    public Long endMillis(UpstreamId upstream) {
        return endsMillis.get(upstream);
    }

    /**
     * Returns all limits that hold.
     *
     * @return the limits; changes with this table
     */
    public Map<UpstreamId, RateLimit> all() {
        return Collections.unmodifiableMap(limits);
    }
}
