package org.apricotstack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import org.apricotstack.core.engine.PromptValue;

/** State and outcome of one request, assembled from its log lines in order. */
final class RequestLifecycle {

    /**
     * A longer wait before the first send, as a share of the target, is reported as the cause of a late first event.
     */
    private static final double QUEUEING_SHARE = 0.3;

    private JsonNode arrived;
    private JsonNode firstSent;
    private JsonNode firstEvent;
    private JsonNode end;
    private String firstFailure;

    /** Adds the next log line of the request. */
    void add(JsonNode line) {
        switch (line.path("event").asText()) {
            case "arrived" -> arrived = line;
            case "sent" -> firstSent = firstSent == null ? line : firstSent;
            case "first_event" -> firstEvent = firstEvent == null ? line : firstEvent;
            case "attempt_failed" -> firstFailure =
                    firstFailure == null ? line.path("kind").asText() : firstFailure;
            case "answered", "streamed", "refused", "caller_left" -> end = line;
            default -> {
                // Other events do not affect the value of the answer.
            }
        }
    }

    /** Returns whether the request passed validation, so that an answer was expected. */
    boolean isAdmitted() {
        return arrived != null;
    }

    /** Returns the arrival time in milliseconds since 1970 by the clock of its router. */
    long arrivedMillis() {
        return arrived.path("time").asLong();
    }

    /** Returns the prompt length in tokens; 0 for a plain service. */
    long promptTokens() {
        return arrived.path("prompt_tokens").asLong();
    }

    /** Returns the value of the answer, computed as in the placement decision of a router. */
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

    /** Returns why value was lost; {@code null} if none was. */
    String cause() {
        if (end == null) {
            return "no end: its router stopped or lost log lines";
        }
        return switch (end.path("event").asText()) {
            case "refused" -> "refused: " + end.path("cause").asText();
            case "caller_left" -> end.hasNonNull("last_event") ? "caller left midway" : "caller left before an answer";
            default -> causeOfDelay();
        };
    }

    /** Returns why an answer was late; {@code null} if it was not. */
    private String causeOfDelay() {
        long target = arrived.path("target_millis").asLong();
        long first = firstEvent == null ? end.path("took_millis").asLong() : sinceArrival(firstEvent);
        if (target > 0 && first > target) {
            return "late: " + causeOfLateFirstEvent(target);
        }
        long tokenGap = end.path("longest_pause_millis").asLong();
        long tokenGapTarget = arrived.path("pause_target_millis").asLong();
        if (tokenGapTarget > 0 && tokenGap > tokenGapTarget) {
            return firstFailure == null ? "pause: its engine was busy" : "pause: moved after " + firstFailure;
        }
        return null;
    }

    /** Returns why the first event missed its target. */
    private String causeOfLateFirstEvent(long targetMillis) {
        if (firstFailure != null) {
            return "sent again after " + firstFailure;
        }
        if (firstSent == null || firstEvent == null) {
            return "slow upstream";
        }
        long waited = sinceArrival(firstSent);
        if (waited > targetMillis * QUEUEING_SHARE) {
            return "waited for room";
        }
        boolean predictedLate = waited + firstSent.path("predicted_millis").asLong() > targetMillis;
        return predictedLate ? "so predicted" : "predicted in time";
    }

    /** Returns the time from the arrival to a log line, in milliseconds. */
    private long sinceArrival(JsonNode line) {
        return line.path("time").asLong() - arrivedMillis();
    }
}
