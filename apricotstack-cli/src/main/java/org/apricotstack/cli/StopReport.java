package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Report on the stops of routers, computed from the logs of all routers.
 *
 * <p>A stop should end by itself with nothing open, whatever else happens in the meantime.
 */
final class StopReport {

    /** Time after a rejection in which an equal request counts as its repeat, in milliseconds. */
    private static final long REPEAT_MILLIS = 6_000;

    private final Map<String, JsonNode> arrivals = new HashMap<>();
    private final Map<String, Long> rejectionTimes = new HashMap<>();
    private final Set<String> stopping = new HashSet<>();
    private long begun;
    private long killed;
    private long endedWithOpen;
    private long cut;
    private long cutAfterSignal;
    private long rejected;
    private long rejectedWithoutReadyRouter;
    private long rejectedAgain;
    private long stalls;

    private StopReport() {}

    /**
     * Computes the report.
     *
     * @param files collected logs of all routers
     * @return the report
     */
    static StopReport read(List<Path> files) {
        StopReport report = new StopReport();
        CollectedLogs.read(files).stream()
                .sorted(Comparator.comparingLong(line -> line.path("time").asLong()))
                .forEach(report::add);
        return report;
    }

    /** Adds a log line. */
    private void add(JsonNode line) {
        String host = line.path("host").asText();
        switch (line.path("event").asText()) {
            case "arrived" -> arrivals.put(host + " " + line.path("request").asText(), line);
            case "stop_begun" -> {
                begun++;
                stopping.add(host);
            }
            case "stopped" -> {
                stopping.remove(host);
                endedWithOpen += line.path("open").asLong() > 0 ? 1 : 0;
            }
            case "started" -> killed += stopping.remove(host) ? 1 : 0;
            case "process_stalled" -> stalls++;
            case "cut_by_stop" -> addCut(line);
            case "rejected_by_stop" -> addRejection(host, line);
            default -> {
                // Other lines say nothing of stops.
            }
        }
    }

    /** Adds a request that was open at the end of a stop. */
    private void addCut(JsonNode line) {
        cut++;
        boolean taken =
                line.path("took_millis").asLong() < line.path("stopping_millis").asLong();
        cutAfterSignal += taken ? 1 : 0;
    }

    /** Adds a rejected request. */
    private void addRejection(String host, JsonNode line) {
        rejected++;
        rejectedWithoutReadyRouter += line.path("ready_router").asBoolean() ? 0 : 1;
        JsonNode arrival = arrivals.get(host + " " + line.path("request").asText());
        if (arrival == null) {
            return;
        }
        String content = String.join(
                " ",
                arrival.path("caller").asText(),
                arrival.path("route").asText(),
                arrival.path("account").asText(),
                arrival.path("prompt_tokens").asText());
        long now = line.path("time").asLong();
        Long before = rejectionTimes.put(content, now);
        rejectedAgain += before != null && now - before <= REPEAT_MILLIS ? 1 : 0;
    }

    /** Returns whether no file has a stop. */
    boolean isEmpty() {
        return begun == 0;
    }

    /** Returns whether a stop was killed, or ended with a request open. */
    boolean hasFailures() {
        return killed > 0 || endedWithOpen > 0;
    }

    /**
     * Formats the report.
     *
     * @return the text
     */
    String describe() {
        return String.format(
                Locale.ROOT,
                "%d stops, %d killed, %d ended with requests open; %d stalls%n"
                        + "%d requests cut, %d of them taken after the signal%n"
                        + "%d rejected, %d of them without a ready router, %d again%n",
                begun,
                killed,
                endedWithOpen,
                stalls,
                cut,
                cutAfterSignal,
                rejected,
                rejectedWithoutReadyRouter,
                rejectedAgain);
    }
}
