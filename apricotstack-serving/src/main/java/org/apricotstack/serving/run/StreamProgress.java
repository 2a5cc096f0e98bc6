package org.apricotstack.serving.run;

/** Position in a stream, used to detect duplicate and missing events. */
final class StreamProgress {

    private String lastEventId;
    private long last = -1;
    private boolean counted;
    private Attempt currentAttempt;
    private long lastMillis;
    private long longestTokenGapMillis;
    private boolean answerStarted;

    /** Creates the position after the last event that the caller has; {@code null} if it has none. */
    StreamProgress(String lastEventId) {
        this.lastEventId = lastEventId;
        if (lastEventId != null) {
            try {
                last = Long.parseLong(lastEventId.trim());
                counted = true;
            } catch (NumberFormatException e) {
                counted = false;
            }
        }
    }

    /** Returns whether an event is the next one in sequence. */
    boolean isNext(long id) {
        return id < 0 || !counted || id == last + 1;
    }

    /** Returns whether events before this one are missing. */
    boolean skipsEvents(long id) {
        return counted && id > last + 1;
    }

    /** Returns whether an event is the first of its attempt; {@code true} once per attempt. */
    boolean isFirstOf(Attempt attempt) {
        boolean first = currentAttempt != attempt;
        currentAttempt = attempt;
        return first;
    }

    /** Records a forwarded event. */
    void eventForwarded(long id, long nowMillis) {
        if (answerStarted) {
            longestTokenGapMillis = Math.max(longestTokenGapMillis, nowMillis - lastMillis);
        }
        answerStarted = true;
        lastMillis = nowMillis;
        if (id >= 0) {
            last = id;
            counted = true;
            lastEventId = Long.toString(id);
        }
    }

    /** Returns whether an event was forwarded. */
    boolean answerStarted() {
        return answerStarted;
    }

    /** Returns the number of events that the caller has; 0 if they have no numbers. */
    long events() {
        return counted ? last + 1 : 0;
    }

    /** Returns when the last event was forwarded. */
    long lastMillis() {
        return lastMillis;
    }

    /** Returns the id of the event after which the stream resumes, or {@code null}. */
    String lastEventId() {
        return lastEventId;
    }

    /** Returns the longest time between two events, in milliseconds. */
    long longestTokenGapMillis() {
        return longestTokenGapMillis;
    }
}
