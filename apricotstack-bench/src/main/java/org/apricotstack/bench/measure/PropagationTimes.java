package org.apricotstack.bench.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Propagation times of state updates, from the moment at which one router sends an update until others have received
 * it.
 *
 * @param <T> identifies an update
 */
final class PropagationTimes<T> {

    private static final double MEDIAN = 0.5;
    private static final double NINETY_NINTH = 0.99;
    private static final double NANOS_PER_MILLI = 1e6;

    private final Map<T, Long> sentNanos = new ConcurrentHashMap<>();
    private final List<Double> propagationMillis = new ArrayList<>();

    /** Removes all times. */
    synchronized void clear() {
        sentNanos.clear();
        propagationMillis.clear();
    }

    /** Records that an update is sent now. */
    void sent(T update) {
        sentNanos.put(update, System.nanoTime());
    }

    /** Records that a router has received an update; updates that were not recorded as sent are ignored. */
    synchronized void received(T update) {
        Long start = sentNanos.get(update);
        if (start != null) {
            propagationMillis.add((System.nanoTime() - start) / NANOS_PER_MILLI);
        }
    }

    /**
     * Returns the median, the 99th percentile, the maximum, and the mean number of routers that received each update.
     */
    synchronized List<Sample> samples(String series, int routers) {
        double[] sorted = propagationMillis.stream()
                .mapToDouble(Double::doubleValue)
                .sorted()
                .toArray();
        return List.of(
                new Sample(series + "-p50-by-routers", routers, quantile(sorted, MEDIAN)),
                new Sample(series + "-p99-by-routers", routers, quantile(sorted, NINETY_NINTH)),
                new Sample(series + "-most-by-routers", routers, quantile(sorted, 1)),
                new Sample(series + "-heard-by-routers", routers, (double) sorted.length / sentNanos.size()));
    }

    /** Returns a quantile of sorted values. */
    private static double quantile(double[] sorted, double quantile) {
        return sorted.length == 0 ? Double.NaN : sorted[(int) Math.ceil(quantile * sorted.length) - 1];
    }
}
