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
 * Where the value of answers was lost, by the length of the prompt and the cause, from the log lines of all routers.
 *
 * <p>What callers saw and routers did not, such as connections that no router took, is not in it.
 */
final class LostWorth {

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final double PERCENT = 100;

    /** Seconds that are named for each cause: those with most requests. */
    private static final int SECONDS_NAMED = 4;

    private final Map<String, Loss> losses = new TreeMap<>();
    private double owed;
    private long requests;

    /** What one cause has cost. */
    private static final class Loss {
        private long requests;
        private double value;
        private final Map<Long, Integer> bySecond = new TreeMap<>();
    }

    private LostWorth() {}

    /**
     * Reads where value was lost.
     *
     * @param files collected logs of all routers
     * @return the losses; none if no file has a request
     */
    static LostWorth read(List<Path> files) {
        Map<String, RequestLife> lives = new LinkedHashMap<>();
        for (JsonNode line : CollectedLogs.read(files)) {
            if (line.hasNonNull("request")) {
                String key =
                        line.path("host").asText() + " " + line.path("request").asText();
                lives.computeIfAbsent(key, id -> new RequestLife()).take(line);
            }
        }
        LostWorth lost = new LostWorth();
        List<RequestLife> owed =
                lives.values().stream().filter(RequestLife::isOwed).toList();
        long first = owed.stream().mapToLong(RequestLife::arrivedMillis).min().orElse(0);
        owed.forEach(life -> lost.add(life, first));
        return lost;
    }

    /** Adds one request. */
    private void add(RequestLife life, long firstMillis) {
        requests++;
        owed += life.value();
        double value = life.value() * life.lostShare();
        if (value > 0) {
            Loss loss = losses.computeIfAbsent(length(life.promptTokens()) + "  " + life.cause(), key -> new Loss());
            loss.requests++;
            loss.value += value;
            loss.bySecond.merge((life.arrivedMillis() - firstMillis) / MILLIS_PER_SECOND, 1, Integer::sum);
        }
    }

    /** Names a class of lengths. */
    private static String length(long promptTokens) {
        if (promptTokens == 0) {
            return "plain   ";
        }
        int digits = Long.toString(promptTokens - 1).length();
        return String.format(Locale.ROOT, "to 10^%d ", digits);
    }

    /**
     * Tells whether no file has a request.
     *
     * @return whether there is nothing to report
     */
    boolean isEmpty() {
        return requests == 0;
    }

    /**
     * Writes a line for each length and cause, the dearest first.
     *
     * @return the text
     */
    String describe() {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%d requests; value owed %.1f%n%8s %9s %7s  length  cause (seconds: requests)%n",
                requests,
                owed,
                "requests",
                "value",
                "share"));
        List<Map.Entry<String, Loss>> dearest = new ArrayList<>(losses.entrySet());
        dearest.sort(Comparator.comparingDouble(entry -> -entry.getValue().value));
        for (Map.Entry<String, Loss> entry : dearest) {
            Loss loss = entry.getValue();
            text.append(String.format(
                    Locale.ROOT,
                    "%8d %9.1f %6.2f%%  %s (%s)%n",
                    loss.requests,
                    loss.value,
                    PERCENT * loss.value / owed,
                    entry.getKey(),
                    seconds(loss)));
        }
        return text.toString();
    }

    /** Names the seconds in which most of the requests arrived, since the first request of all. */
    private static String seconds(Loss loss) {
        return loss.bySecond.entrySet().stream()
                .sorted(Map.Entry.<Long, Integer>comparingByValue().reversed())
                .limit(SECONDS_NAMED)
                .map(second -> second.getKey() + " s: " + second.getValue())
                .collect(Collectors.joining(", "));
    }
}
