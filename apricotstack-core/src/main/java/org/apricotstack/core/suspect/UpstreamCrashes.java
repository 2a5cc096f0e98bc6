package org.apricotstack.core.suspect;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/**
 * The times at which upstreams crashed, and the traits of the requests that were in flight there.
 *
 * <p>A power failure of a rack or a faulty release takes down several upstreams at the same time. A request that was
 * not sent to all of them cannot be the cause.
 */
final class UpstreamCrashes {

    /**
     * Maximum number of crashes to remember. With the number of requests that an upstream runs concurrently, they take
     * about a megabyte.
     */
    static final int MAX_CRASHES = 1_000;

    /**
     * Maximum time between crashes that are attributed to a common cause, in milliseconds. Routers detect the loss of a
     * rack within a few tens of milliseconds, and hosts are busy at that time.
     */
    static final long SIMULTANEOUS_MILLIS = 150;

    /**
     * Number of other upstreams that crash at the same time without the request in flight from which on a crash does
     * not count against the request.
     */
    static final int MIN_OTHER_CRASHES = 2;

    private final Map<UpstreamId, CrashedUpstream> crashes = new LinkedHashMap<>();

    /**
     * The crash of one incarnation of an upstream.
     *
     * @param atMillis time of the crash
     * @param traits traits of the requests that were in flight there
     * @param services services of the shared traits; one, unless reports contradict each other
     */
    private record CrashedUpstream(long atMillis, Set<RequestTrait> traits, Set<ServiceId> services) {}

    /** Records a trait of a request that was in flight at a crashed upstream. */
    void record(UpstreamId upstream, RequestTrait trait, long atMillis) {
        CrashedUpstream crashed = crashes.computeIfAbsent(
                upstream, id -> new CrashedUpstream(atMillis, new HashSet<>(), new HashSet<>()));
        crashed.traits().add(trait);
        if (trait instanceof SharedTrait shared) {
            crashed.services().add(shared.service());
        }
        if (crashes.size() > MAX_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
    }

    /** Returns the upstreams of a service that crashed at or after a time with shared traits in flight. */
    Set<UpstreamId> ofService(ServiceId service, long sinceMillis) {
        return crashes.entrySet().stream()
                .filter(crash -> crash.getValue().atMillis() >= sinceMillis)
                .filter(crash -> crash.getValue().services().contains(service))
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    /** Tells whether an upstream crashed at the same time as others at which no request with a trait was in flight. */
    boolean crashedWithOthers(UpstreamId upstream, RequestTrait trait) {
        CrashedUpstream crashed = crashes.get(upstream);
        if (crashed == null) {
            return false;
        }
        int others = 0;
        for (CrashedUpstream other : crashes.values()) {
            boolean together = Math.abs(other.atMillis() - crashed.atMillis()) <= SIMULTANEOUS_MILLIS;
            if (together && !other.traits().contains(trait)) {
                others++;
            }
        }
        return others >= MIN_OTHER_CRASHES;
    }
}
