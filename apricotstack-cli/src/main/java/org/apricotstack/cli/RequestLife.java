package org.apricotstack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.core.engine.PromptValue;

/** What became of one request, put together from its log lines in their order. */
final class RequestLife {

    /** Share of the target beyond which a wait before the first send is the cause of a late first event. */
    private static final double WAITED_SHARE = 0.3;

    private JsonNode arrived;
    private JsonNode firstSent;
    private JsonNode firstEvent;
    private JsonNode end;
    private String firstFailure;

    /** Takes the next line of the request. */
    void take(JsonNode line) {
        switch (line.path("event").asText()) {
            case "arrived" -> arrived = line;
            case "sent" -> firstSent = firstSent == null ? line : firstSent;
            case "first_event" -> firstEvent = firstEvent == null ? line : firstEvent;
            case "attempt_failed" -> firstFailure =
                    firstFailure == null ? line.path("kind").asText() : firstFailure;
            case "answered", "streamed", "refused", "caller_left" -> end = line;
            default -> {
                // Other lines do not decide what the answer was worth.
            }
        }
    }

    /** Tells whether the request passed the checks, so that an answer was owed. */
    boolean isOwed() {
        return arrived != null;
    }

    /** Returns when it arrived, in milliseconds since 1970 by its router's clock. */
    long arrivedMillis() {
        return arrived.path("time").asLong();
    }

    /** Returns the tokens of its prompt; 0 for a plain service. */
    long promptTokens() {
        return arrived.path("prompt_tokens").asLong();
    }

    /** Values its answer, as the router does that places it. */
    double value() {
        return PromptValue.of(promptTokens());
    }

    /** Returns the share of the value that was lost, 0 to 1. */
    double lostShare() {
        String cause = cause();
        if (cause == null) {
            return 0;
        }
        return cause.startsWith("late") || cause.startsWith("pause") ? PromptValue.LATE_LOSS_SHARE : 1;
    }

    /** Says why value was lost; {@code null} if none was. */
    String cause() {
        if (end == null) {
            return "no end: its router stopped or lost lines";
        }
        return switch (end.path("event").asText()) {
            case "refused" -> "refused: " + end.path("cause").asText();
            case "caller_left" -> end.hasNonNull("last_event") ? "caller left midway" : "caller left before an answer";
            default -> causeOfLateness();
        };
    }

    /** Says why an answer was late; {@code null} if it was not. */
    private String causeOfLateness() {
        long target = arrived.path("target_millis").asLong();
        long first = firstEvent == null ? end.path("took_millis").asLong() : sinceArrival(firstEvent);
        if (target > 0 && first > target) {
            return "late: " + whyFirstEventIsLate(target);
        }
        long pause = end.path("longest_pause_millis").asLong();
        long pauseTarget = arrived.path("pause_target_millis").asLong();
        if (pauseTarget > 0 && pause > pauseTarget) {
            return firstFailure == null ? "pause: its engine was busy" : "pause: moved after " + firstFailure;
        }
        return null;
    }

    /** Says why a first event came after the target. */
    private String whyFirstEventIsLate(long targetMillis) {
        if (firstFailure != null) {
            return "sent again after " + firstFailure;
        }
        if (firstSent == null || firstEvent == null) {
            return "slow upstream";
        }
        long waited = sinceArrival(firstSent);
        if (waited > targetMillis * WAITED_SHARE) {
            return "waited for room";
        }
        boolean foreseen = waited + firstSent.path("predicted_millis").asLong() > targetMillis;
        return foreseen ? "so predicted" : "predicted in time";
    }

    /** Returns the time from the arrival to a line. */
    private long sinceArrival(JsonNode line) {
        return line.path("time").asLong() - arrivedMillis();
    }
}
