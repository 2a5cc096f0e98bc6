package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The log lines of one request and the state of its upstreams at that time, from the logs of routers.
 *
 * <p>A request is served by one router, so its lines share one clock. They are interleaved with the lines in which that
 * router logged state changes of the upstreams that the request used, from one second before the arrival to the end. If
 * upstreams crashed under the same content or prompt part, also in other attempts at other routers, these lines
 * follow, each with the name and the clock of its router.
 */
final class RequestTrace {

    /** State changes up to this long before the arrival can affect the request, in milliseconds. */
    private static final long BEFORE_MILLIS = 1_000;

    private static final Comparator<JsonNode> BY_TIME =
            Comparator.comparingLong(line -> line.path("time").asLong());

    /** Fields that every line has and that are not printed. */
    private static final Set<String> COMMON = Set.of("time", "host", "event", "request");

    /** Fields that identify what upstreams crashed under. */
    private static final List<String> SUSPECTED = List.of("content", "part");

    private final List<JsonNode> lines;
    private final List<JsonNode> sameContent;

    /** Creates a trace of lines in the order of time. */
    private RequestTrace(List<JsonNode> lines, List<JsonNode> sameContent) {
        this.lines = lines;
        this.sameContent = sameContent;
    }

    /**
     * Reads the trace of a request.
     *
     * @param request the request's id
     * @param files collected logs; text before the JSON object of a line is skipped
     * @return the trace, empty if no file contains the request
     */
    static RequestTrace read(String request, List<Path> files) {
        List<JsonNode> all = CollectedLogs.read(files);
        List<JsonNode> own = new ArrayList<>(all.stream()
                .filter(line -> request.equals(line.path("request").asText()))
                .toList());
        if (own.isEmpty()) {
            return new RequestTrace(own, List.of());
        }
        List<JsonNode> sameContent = sameContent(all, own);
        own.addAll(upstreamStates(all, own));
        own.sort(BY_TIME);
        return new RequestTrace(own, sameContent);
    }

    /**
     * Finds the lines of all routers on the content of a request, or on the prompt part for which it was refused, if it
     * crashed an upstream or was refused.
     */
    private static List<JsonNode> sameContent(List<JsonNode> all, List<JsonNode> own) {
        Set<String> suspected = new HashSet<>();
        own.forEach(line -> suspected.addAll(suspected(line)));
        return all.stream()
                .filter(line -> !Collections.disjoint(suspected(line), suspected))
                .filter(line -> !own.contains(line))
                .sorted(BY_TIME)
                .toList();
    }

    /** Returns the content and the prompt part that a line is about. */
    private static List<String> suspected(JsonNode line) {
        return SUSPECTED.stream()
                .filter(line::has)
                .map(field -> field + "=" + line.path(field).asText())
                .toList();
    }

    /** Finds the state changes of upstreams that the router of a request logged meanwhile. */
    private static List<JsonNode> upstreamStates(List<JsonNode> all, List<JsonNode> own) {
        Set<String> upstreams = new HashSet<>();
        for (JsonNode line : own) {
            upstreams.add(line.path("upstream").asText());
            upstreams.addAll(Arrays.asList(line.path("helpers").asText().split(",")));
        }
        String host = own.get(0).path("host").asText();
        long first = own.get(0).path("time").asLong() - BEFORE_MILLIS;
        long last = own.get(own.size() - 1).path("time").asLong();
        return all.stream()
                .filter(line ->
                        !line.has("request") && host.equals(line.path("host").asText()))
                .filter(line ->
                        line.path("time").asLong() >= first && line.path("time").asLong() <= last)
                .filter(line -> !line.has("upstream")
                        || upstreams.contains(line.path("upstream").asText()))
                .toList();
    }

    /**
     * Returns whether no file contains the request.
     *
     * @return whether the trace is empty
     */
    boolean isEmpty() {
        return lines.isEmpty();
    }

    /**
     * Formats the trace: one line for each event, with the milliseconds since the arrival, then the likely cause.
     *
     * @return the text
     */
    String describe() {
        long arrival = lines.stream()
                .filter(line -> line.has("request"))
                .findFirst()
                .orElseThrow()
                .path("time")
                .asLong();
        StringBuilder text =
                new StringBuilder("host " + lines.get(0).path("host").asText() + "\n");
        for (JsonNode line : lines) {
            describe(line, arrival, line.has("request") ? "  " : "* ", text);
        }
        if (!sameContent.isEmpty()) {
            text.append("the same content at all routers\n");
        }
        for (JsonNode line : sameContent) {
            String name =
                    line.path("host").asText() + " " + line.path("request").asText();
            describe(line, arrival, name.trim() + " ", text);
        }
        return text.append("first guess: ").append(likelyCause()).append('\n').toString();
    }

    /** Formats one line. */
    private static void describe(JsonNode line, long arrivalMillis, String mark, StringBuilder text) {
        text.append(String.format("%+7d ms  ", line.path("time").asLong() - arrivalMillis))
                .append(mark)
                .append(line.path("event").asText());
        line.fields().forEachRemaining(field -> {
            if (!COMMON.contains(field.getKey())) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        text.append('\n');
    }

    /** Derives the likely cause of the outcome from the last event and the last failure. */
    private String likelyCause() {
        JsonNode end = null;
        String failure = "";
        for (JsonNode line : lines) {
            if (!line.has("request")) {
                continue;
            }
            end = line;
            if ("attempt_failed".equals(line.path("event").asText())) {
                failure = " after upstream " + line.path("upstream").asText() + " failed ("
                        + line.path("kind").asText() + ")";
            }
        }
        return switch (end.path("event").asText()) {
            case "refused" -> "ended by the router, " + end.path("cause").asText() + failure;
            case "caller_left" -> "the caller left"
                    + (end.hasNonNull("last_event") ? " in the middle of the stream" : " before the first event")
                    + failure;
            case "answered", "streamed" -> "served with status "
                    + end.path("status").asText() + " in "
                    + end.path("took_millis").asText()
                    + " ms, longest token gap "
                    + end.path("longest_pause_millis").asText() + " ms" + failure;
            default -> "the log ends with " + end.path("event").asText()
                    + "; check whether the process was stopped or lines were dropped";
        };
    }
}
