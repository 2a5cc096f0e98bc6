package org.apricotstack.core.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.time.MonotonicClock;

/**
 * The latest load that the owner of each group reported to this router, with its age.
 *
 * <p>Old loads are unreliable, so a load is halved for each {@link #HALF_LIFE_MILLIS} of its age, and a group that was
 * busy long ago is tried again. Requests that this router has sent since the report are added, because the report does
 * not include them; otherwise all requests between two replies would go to the same group.
 */
public final class GroupLoadTable {

    /** Time in which the weight of a reported load halves, in milliseconds. */
    static final long HALF_LIFE_MILLIS = 2_000;

    private final Map<GroupId, Entry> entries = new ConcurrentHashMap<>();
    private final MonotonicClock clock;

    /**
     * Creates an empty table.
     *
     * @param clock the local clock
     */
    public GroupLoadTable(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records a load from a reply.
     *
     * @param load the load
     */
    public void record(GroupLoad load) {
        entries.put(load.group(), new Entry(load, clock.millis(), 0));
    }

    /**
     * Records that a request was sent to a group.
     *
     * @param group the group
     * @param serviceMillis predicted time for which the request occupies an upstream, in milliseconds
     */
    public void recordSent(GroupId group, long serviceMillis) {
        entries.computeIfPresent(
                group, (id, entry) -> new Entry(entry.load, entry.atMillis, entry.sentMillis + serviceMillis));
    }

    /**
     * Returns the expected delay of a group.
     *
     * @param group the group
     * @param lengthClass the class of the request
     * @return the delay in milliseconds, 0 if nothing is known
     */
    public long expectedDelayMillis(GroupId group, LengthClass lengthClass) {
        Entry entry = entries.get(group);
        if (entry == null) {
            return 0;
        }
        long age = clock.millis() - entry.atMillis;
        double weight = Math.pow(0.5, (double) age / HALF_LIFE_MILLIS);
        int upstreams = Math.max(1, entry.load.liveUpstreams());
        return Math.round(weight * (entry.load.delayMillis(lengthClass) + (double) entry.sentMillis / upstreams));
    }

    /**
     * Tells whether a group reported that it has no upstream that accepts work.
     *
     * @param group the group
     * @return whether its last report says so and is recent
     */
    public boolean isKnownEmpty(GroupId group) {
        Entry entry = entries.get(group);
        return entry != null && entry.load.liveUpstreams() == 0 && clock.millis() - entry.atMillis < HALF_LIFE_MILLIS;
    }

    /**
     * A report with the work sent since then.
     *
     * @param load the report
     * @param atMillis the time of its arrival
     * @param sentMillis work sent since then, in milliseconds of one upstream
     */
    private record Entry(GroupLoad load, long atMillis, long sentMillis) {}
}
