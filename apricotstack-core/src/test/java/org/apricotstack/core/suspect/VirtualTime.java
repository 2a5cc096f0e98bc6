package org.apricotstack.core.suspect;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs what was planned in the order of its times, without waiting. */
public final class VirtualTime {

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private long nowMillis;
    private long number;

    /**
     * Something that happens at a time.
     *
     * @param atMillis when
     * @param number order of what happens at the same time
     * @param action what happens
     */
    private record Event(long atMillis, long number, Runnable action) {}

    public long nowMillis() {
        return nowMillis;
    }

    /** Plans something; what would be in the past happens next. */
    public void at(long millis, Runnable action) {
        events.add(new Event(Math.max(nowMillis, millis), number++, action));
    }

    /** Runs until nothing is left to happen. */
    public void run() {
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
    }
}
