package org.apricotstack.core.suspect;

import java.util.Comparator;
import java.util.PriorityQueue;

/** A simulated clock that runs scheduled actions in the order of their times, without waiting. */
public final class VirtualTime {

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));
    private long nowMillis;
    private long number;

    /**
     * A scheduled action.
     *
     * @param atMillis time at which it runs
     * @param number order among actions scheduled for the same time
     * @param action the action
     */
    private record Event(long atMillis, long number, Runnable action) {}

    public long nowMillis() {
        return nowMillis;
    }

    /** Schedules an action; actions scheduled for the past run next. */
    public void at(long millis, Runnable action) {
        events.add(new Event(Math.max(nowMillis, millis), number++, action));
    }

    /** Runs until no actions are left. */
    public void run() {
        while (!events.isEmpty()) {
            Event next = events.poll();
            nowMillis = next.atMillis();
            next.action().run();
        }
    }
}
