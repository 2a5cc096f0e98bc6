package org.apricotstack.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Times from the moment at which one router tells of something until others know.
 *
 * @param <T> what is told of
 */
final class KnownTimes<T> {

    private static final double MEDIAN = 0.5;
    private static final double NINETY_NINTH = 0.99;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<T, Long> toldNanos = new ConcurrentHashMap<>();
    private final List<Double> knownMillis = new ArrayList<>();

    /** Forgets all times. */
    synchronized void clear() {
        toldNanos.clear();
        knownMillis.clear();
    }

    /** Notes that something is told now. */
    void told(T what) {
        toldNanos.put(what, System.nanoTime());
    }

    /** Notes that a router knows; what was not noted as told is not timed. */
    synchronized void known(T what) {
        Long told = toldNanos.get(what);
        if (told != null) {
            knownMillis.add((System.nanoTime() - told) / NANOS_PER_MILLI);
        }
    }

    /** Returns the median, the 99th percentile, the longest time, and how many routers knew of each. */
    synchronized List<Sample> samples(String series, int routers) {
        double[] sorted =
                knownMillis.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return List.of(
                new Sample(series + "-p50-by-routers", routers, at(sorted, MEDIAN)),
                new Sample(series + "-p99-by-routers", routers, at(sorted, NINETY_NINTH)),
                new Sample(series + "-most-by-routers", routers, at(sorted, 1)),
                new Sample(series + "-heard-by-routers", routers, (double) sorted.length / toldNanos.size()));
    }

    /** Returns a quantile of sorted values. */
    private static double at(double[] sorted, double quantile) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.ceil(quantile * sorted.length) - 1];
    }
}
