package org.apricotstack.core.suspect;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.apricotstack.core.id.UpstreamId;

/**
 * When upstreams ended, and which requests were in flight there.
 *
 * <p>A rack that loses power, or a release that goes wrong, takes several upstreams at one moment. No request can be
 * the cause of that which was not sent to all of them.
 */
final class UpstreamCrashes {

    /** Ends that are remembered; with as many requests each as an upstream runs they take about a megabyte. */
    static final int MAX_CRASHES = 1_000;

    /**
     * Time between ends that have one cause, in milliseconds: routers hear of a lost rack within a few tens of
     * milliseconds, and hosts are busy at that moment.
     */
    static final long SIMULTANEOUS_MILLIS = 150;

    /** Upstreams lost together with one, without the request, from which on the request is not suspected of it. */
    static final int MIN_OTHER_CRASHES = 2;

    private final Map<UpstreamId, CrashedUpstream> crashes = new LinkedHashMap<>();

    /**
     * The end of one start of an upstream.
     *
     * @param atMillis when
     * @param requests what was in flight there
     */
    private record CrashedUpstream(long atMillis, Set<RequestDigest> requests) {}

    /** Notes a request that was in flight at an upstream that ended. */
    void record(UpstreamId upstream, RequestDigest request, long atMillis) {
        crashes.computeIfAbsent(upstream, id -> new CrashedUpstream(atMillis, new HashSet<>()))
                .requests()
                .add(request);
        if (crashes.size() > MAX_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
    }

    /** Tells whether an upstream ended together with others at which a request was not in flight. */
    boolean crashedWithOthers(UpstreamId upstream, RequestDigest request) {
        CrashedUpstream crashed = crashes.get(upstream);
        if (crashed == null) {
            return false;
        }
        int others = 0;
        for (CrashedUpstream other : crashes.values()) {
            boolean together = Math.abs(other.atMillis() - crashed.atMillis()) <= SIMULTANEOUS_MILLIS;
            if (together && !other.requests().contains(request)) {
                others++;
            }
        }
        return others >= MIN_OTHER_CRASHES;
    }
}
