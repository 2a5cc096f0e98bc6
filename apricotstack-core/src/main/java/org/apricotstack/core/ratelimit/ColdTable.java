package org.apricotstack.core.ratelimit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;

/**
 * The upstreams that are cold, according to their entries, their responses to this router or to other routers, or their
 * start.
 *
 * <p>Responses overtake each other, and entries are delayed. So a cold period begins or is extended at once, but is
 * shortened or ended only by a response to a request that was sent after the newest knowledge, or by a newer entry if
 * the knowledge came from an earlier entry or the start. Cold periods are recorded per incarnation of an upstream.
 */
public final class ColdTable {

    /** Shortest change of the end of a cold period that counts as a change, in milliseconds. */
    private static final long MIN_CHANGE_MILLIS = 250;

    /** Maximum number of ended cold periods to remember, so that delayed gossip messages don't restore them. */
    private static final int MAX_ENDS = 1_000;

    private final Map<UpstreamId, ColdState> states = new HashMap<>();
    private final Map<UpstreamId, Long> endsMillis = new LinkedHashMap<>();

    /**
     * Records a new entry of an upstream.
     *
     * @param upstream the incarnation
     * @param stated what the entry states; its age is unknown, so the time counts from now
     * @param startMillis time for which the upstream is cold if the entry states nothing, because it was just started;
     *     0 if it was listed before
     * @param nowMillis the time
     * @return the change
     */
    public LimitChange listed(UpstreamId upstream, AdvertisedCold stated, long startMillis, long nowMillis) {
        if (stated.kind() != AdvertisedCold.Kind.STATED) {
            return startMillis > 0 ? extend(upstream, startMillis, ColdSource.START, nowMillis) : LimitChange.NONE;
        }
        ColdState before = find(upstream, nowMillis);
        if (before != null && before.source() == ColdSource.RESPONSE) {
            return extend(upstream, stated.millis(), ColdSource.ENTRY, nowMillis);
        }
        return put(upstream, nowMillis + stated.millis(), ColdSource.ENTRY, nowMillis, nowMillis);
    }

    /**
     * Records what a response states.
     *
     * @param upstream the incarnation that responded
     * @param stated what the response states
     * @param sentMillis time at which the request was sent, or an earlier time
     * @param nowMillis time at which the response arrived
     * @return the change
     */
    public LimitChange answerReceived(UpstreamId upstream, AdvertisedCold stated, long sentMillis, long nowMillis) {
        if (stated.kind() != AdvertisedCold.Kind.STATED) {
            return LimitChange.NONE;
        }
        ColdState before = find(upstream, nowMillis);
        if (before != null && sentMillis <= before.learntMillis()) {
            return extend(upstream, stated.millis(), ColdSource.RESPONSE, nowMillis);
        }
        return put(upstream, nowMillis + stated.millis(), ColdSource.RESPONSE, nowMillis, nowMillis);
    }

    /**
     * Records what another router knows.
     *
     * @param upstream the incarnation
     * @param remainingMillis remaining time when the message was sent; 0 if the upstream is warm
     * @param learntMillis time at which that router learnt it
     * @param source what it learnt it from
     * @param nowMillis the time
     * @return the change
     */
    public LimitChange reportedByPeer(
            UpstreamId upstream, long remainingMillis, long learntMillis, ColdSource source, long nowMillis) {
        ColdState before = find(upstream, nowMillis);
        long knownMillis = before == null ? endsMillis.getOrDefault(upstream, Long.MIN_VALUE) : before.learntMillis();
        if (learntMillis <= knownMillis) {
            return LimitChange.NONE;
        }
        long remaining = Math.max(0, Math.min(AdvertisedCold.MAX_MILLIS, remainingMillis));
        return put(upstream, nowMillis + remaining, source, learntMillis, nowMillis);
    }

    /** Records a time unless the upstream is known to be cold for longer. */
    private LimitChange extend(UpstreamId upstream, long millis, ColdSource source, long nowMillis) {
        ColdState before = find(upstream, nowMillis);
        return before != null && before.untilMillis() >= nowMillis + millis
                ? LimitChange.NONE
                : put(upstream, nowMillis + millis, source, nowMillis, nowMillis);
    }

    /** Stores the end of a cold period. */
    private LimitChange put(
            UpstreamId upstream, long untilMillis, ColdSource source, long learntMillis, long nowMillis) {
        ColdState before = find(upstream, nowMillis);
        if (untilMillis <= nowMillis) {
            return end(upstream, learntMillis, before);
        }
        endsMillis.remove(upstream);
        long sinceMillis = before == null ? nowMillis : before.sinceMillis();
        states.put(upstream, new ColdState(sinceMillis, untilMillis, learntMillis, source));
        if (before == null) {
            return LimitChange.BEGAN;
        }
        return Math.abs(before.untilMillis() - untilMillis) < MIN_CHANGE_MILLIS
                ? LimitChange.NONE
                : LimitChange.CHANGED;
    }

    /** Ends a cold period. */
    private LimitChange end(UpstreamId upstream, long atMillis, ColdState before) {
        states.remove(upstream);
        if (before == null) {
            return LimitChange.NONE;
        }
        endsMillis.put(upstream, atMillis);
        if (endsMillis.size() > MAX_ENDS) {
            endsMillis.remove(endsMillis.keySet().iterator().next());
        }
        return LimitChange.ENDED;
    }

    /**
     * Returns the cold period of an upstream.
     *
     * @param upstream the incarnation
     * @param nowMillis the time
     * @return the cold period; {@code null} if the upstream is not known to be cold
     */
    public ColdState find(UpstreamId upstream, long nowMillis) {
        ColdState state = states.isEmpty() ? null : states.get(upstream);
        return state != null && nowMillis < state.untilMillis() ? state : null;
    }

    /**
     * Returns the time of the knowledge that ended the cold period of an upstream early.
     *
     * @param upstream the incarnation
     * @return the time; {@code null} if the upstream is cold or no early end is known
     */
    public Long endMillis(UpstreamId upstream) {
        return endsMillis.get(upstream);
    }

    /**
     * Removes the cold periods that are over.
     *
     * @param nowMillis the time
     * @return the removed cold periods
     */
    public Map<UpstreamId, ColdState> expire(long nowMillis) {
        if (states.isEmpty()) {
            return Map.of();
        }
        Map<UpstreamId, ColdState> over = new HashMap<>();
        List<UpstreamId> upstreams = new ArrayList<>(states.keySet());
        for (UpstreamId upstream : upstreams) {
            if (find(upstream, nowMillis) == null) {
                over.put(upstream, states.remove(upstream));
            }
        }
        return over;
    }

    /**
     * Removes an incarnation of an upstream that no longer runs.
     *
     * @param upstream the incarnation
     */
    public void forget(UpstreamId upstream) {
        states.remove(upstream);
        endsMillis.remove(upstream);
    }

    /**
     * Tells whether the table is empty.
     *
     * @return whether no upstream is cold
     */
    public boolean isEmpty() {
        return states.isEmpty();
    }

    /**
     * Returns all cold periods, possibly including some that are just over.
     *
     * @return an unmodifiable live view
     */
    public Map<UpstreamId, ColdState> all() {
        return Collections.unmodifiableMap(states);
    }
}
