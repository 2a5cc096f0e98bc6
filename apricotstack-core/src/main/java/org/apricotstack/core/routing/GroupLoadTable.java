package org.apricotstack.core.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.id.GroupId;
import org.apricotstack.core.time.MonotonicClock;

/**
 * The newest load that this router heard of each group, with its age.
 *
 * <p>A load that is old says little: it is halved for each {@link #HALF_LIFE_MILLIS} of its age, so that a group
 * that was busy long ago is tried again. Requests that this router sent since are added, as the owner's figure
 * cannot hold them yet; without that, all requests between two replies would go to the same group.
 */
public final class GroupLoadTable {

    /** Age after which a reported load counts half, in milliseconds. */
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
     * Takes a load from a reply.
     *
     * @param load the load
     */
    public void record(GroupLoad load) {
        entries.put(load.group(), new Entry(load, clock.millis(), 0));
    }

    /**
     * Notes that a request was sent to a group.
     *
     * @param group the group
     * @param serviceMillis predicted time that the request keeps it busy, in milliseconds
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
     * Tells whether a group reported that it has no upstream that takes work.
     *
     * @param group the group
     * @return whether its last, still trusted report says so
     */
    public boolean isKnownEmpty(GroupId group) {
        Entry entry = entries.get(group);
        return entry != null && entry.load.liveUpstreams() == 0 && clock.millis() - entry.atMillis < HALF_LIFE_MILLIS;
    }

    /**
     * A report with what was sent since.
     *
     * @param load the report
     * @param atMillis when it came
     * @param sentMillis work sent since, in milliseconds of one upstream
     */
    private record Entry(GroupLoad load, long atMillis, long sentMillis) {}
}
