package org.apricotstack.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Report on the lost value of answers by prompt length and cause, computed from the logs of all routers.
 *
 * <p>Failures that only callers observe, such as connections that no router accepted, are not included.
 */
final class LostValueReport {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double PERCENT = 100;

    /** Number of seconds listed for each cause: those with the most requests. */
    private static final int MAX_SECONDS_LISTED = 4;

    private final Map<String, Loss> losses = new TreeMap<>();
    private double expectedValue;
    private long requests;

    /** Lost value and affected requests of one cause. */
    private static final class Loss {
        private long requests;
        private double value;
        private final Map<Long, Integer> bySecond = new TreeMap<>();
    }

    private LostValueReport() {}

    /**
     * Computes the report.
     *
     * @param files collected logs of all routers
     * @return the report; empty if no file contains a request
     */
    static LostValueReport read(List<Path> files) {
        Map<String, RequestLifecycle> lifecycles = new LinkedHashMap<>();
        for (JsonNode line : CollectedLogs.read(files)) {
            if (line.hasNonNull("request")) {
                String key =
                        line.path("host").asText() + " " + line.path("request").asText();
                lifecycles.computeIfAbsent(key, id -> new RequestLifecycle()).add(line);
            }
        }
        LostValueReport lost = new LostValueReport();
        List<RequestLifecycle> admitted = lifecycles.values().stream()
                .filter(RequestLifecycle::isAdmitted)
                .toList();
        long first = admitted.stream()
                .mapToLong(RequestLifecycle::arrivedMillis)
                .min()
                .orElse(0);
        admitted.forEach(lifecycle -> lost.add(lifecycle, first));
        return lost;
    }

    /** Adds one request. */
    private void add(RequestLifecycle lifecycle, long firstMillis) {
        requests++;
        expectedValue += lifecycle.value();
        double value = lifecycle.value() * lifecycle.lostShare();
        if (value > 0) {
            Loss loss = losses.computeIfAbsent(
                    lengthLabel(lifecycle.promptTokens()) + "  " + lifecycle.cause(), key -> new Loss());
            loss.requests++;
            loss.value += value;
            loss.bySecond.merge((lifecycle.arrivedMillis() - firstMillis) / MILLIS_PER_SECOND, 1, Integer::sum);
        }
    }

    /** Returns the label of a prompt length. */
    private static String lengthLabel(long promptTokens) {
        if (promptTokens == 0) {
            return "plain   ";
        }
        int digits = Long.toString(promptTokens - 1).length();
        return String.format(Locale.ROOT, "to 10^%d ", digits);
    }

    /**
     * Returns whether no file contains a request.
     *
     * @return whether the report is empty
     */
    boolean isEmpty() {
        return requests == 0;
    }

    /**
     * Formats one line for each length and cause, largest loss first.
     *
     * @return the text
     */
    String describe() {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%d requests; expected value %.1f%n%8s %9s %7s  length  cause (seconds: requests)%n",
                requests,
                expectedValue,
                "requests",
                "value",
                "share"));
        List<Map.Entry<String, Loss>> byLoss = new ArrayList<>(losses.entrySet());
        byLoss.sort(Comparator.comparingDouble(entry -> -entry.getValue().value));
        for (Map.Entry<String, Loss> entry : byLoss) {
            Loss loss = entry.getValue();
            text.append(String.format(
                    Locale.ROOT,
                    "%8d %9.1f %6.2f%%  %s (%s)%n",
                    loss.requests,
                    loss.value,
                    PERCENT * loss.value / expectedValue,
                    entry.getKey(),
                    seconds(loss)));
        }
        return text.toString();
    }

    /** Lists the seconds, counted from the first request, in which most of the affected requests arrived. */
    private static String seconds(Loss loss) {
        return loss.bySecond.entrySet().stream()
                .sorted(Map.Entry.<Long, Integer>comparingByValue().reversed())
                .limit(MAX_SECONDS_LISTED)
                .map(second -> second.getKey() + " s: " + second.getValue())
                .collect(Collectors.joining(", "));
    }
}
