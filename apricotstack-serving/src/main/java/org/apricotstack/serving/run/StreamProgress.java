package org.apricotstack.serving.run;

/** How far a stream has come, so that no event is passed on twice and none is missing. */
final class StreamProgress {

    private String lastEventId;
    private long last = -1;
    private boolean counted;
    private Attempt currentAttempt;
    private long lastMillis;
    private long longestTokenGapMillis;
    private boolean answerStarted;

    /** Creates the progress of a stream that follows an event that the caller has; {@code null} if it has none. */
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

    /** Tells whether an event is the one that follows. */
    boolean isNext(long id) {
        return id < 0 || !counted || id == last + 1;
    }

    /** Tells whether events before this one are missing. */
    boolean skipsEvents(long id) {
        return counted && id > last + 1;
    }

    /** Tells whether an event is the first of its attempt, once. */
    boolean isFirstOf(Attempt attempt) {
        boolean first = currentAttempt != attempt;
        currentAttempt = attempt;
        return first;
    }

    /** Notes an event that is passed on. */
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

    /** Tells whether an event was passed on. */
    boolean answerStarted() {
        return answerStarted;
    }

    /** Returns when the last event was passed on. */
    long lastMillis() {
        return lastMillis;
    }

    /** Returns the event after which the stream goes on, or {@code null}. */
    String lastEventId() {
        return lastEventId;
    }

    /** Returns the longest time between two events. */
    long longestTokenGapMillis() {
        return longestTokenGapMillis;
    }
}
