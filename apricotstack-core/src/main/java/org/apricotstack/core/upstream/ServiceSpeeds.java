package org.apricotstack.core.upstream;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.apricotstack.core.id.UpstreamId;

/** The speeds of the upstreams of one service; see {@link ResponseTimeTable}. All averages are of logarithms. */
final class ServiceSpeeds {

    /** Weight of the latest answer in an upstream's recent speed: two long answers in a row are enough. */
    private static final double RECENT_WEIGHT = 0.6;

    /** Weight of the latest answer in an upstream's long-term speed. */
    private static final double STEADY_WEIGHT = 0.1;

    /** Weight of the latest answer in the usual time of a route. */
    private static final double ROUTE_WEIGHT = 0.05;

    /** Largest deviation of one answer that counts, so that a single long one does not count for many. */
    private static final double MAX_DEVIATION = Math.log(8);

    /** Largest number of routes whose usual times are kept; those without answers for longest are dropped. */
    static final int MAX_ROUTES = 64;

    /** Load factor of the map of routes: the default of maps. */
    private static final float LOAD_FACTOR = 0.75f;

    /** Usual times by route, the least recently used first. */
    private final Map<String, MovingAverage> routes = new LinkedHashMap<>(MAX_ROUTES, LOAD_FACTOR, true);

    private final Map<UpstreamId, Speed> upstreams = new HashMap<>();

    /** The speed of one upstream; 0 is the usual time of the route, from which an unknown upstream starts. */
    private static final class Speed {
        private final MovingAverage recent = new MovingAverage(RECENT_WEIGHT);
        private final MovingAverage steady = new MovingAverage(STEADY_WEIGHT);
        private boolean slow;
        private boolean lastAnswerLong;
        private long trialFromMillis;

        /** Creates the speed of an upstream of normal speed. */
        private Speed() {
            recent.add(0);
            steady.add(0);
        }
    }

    /** Records a complete answer. */
    SpeedChange answered(String route, UpstreamId upstream, long millis, long nowMillis) {
        MovingAverage usual = usualTime(route);
        double time = Math.log(Math.max(1, millis));
        double deviation = usual.isEmpty() ? 0 : time - usual.value();
        double counted = Math.max(-MAX_DEVIATION, Math.min(MAX_DEVIATION, deviation));
        Speed speed = upstreams.computeIfAbsent(upstream, key -> new Speed());
        speed.recent.add(counted);
        speed.steady.add(counted);
        if (!speed.slow || usual.isEmpty()) {
            usual.add(time);
        }
        return update(speed, usual, counted, nowMillis);
    }

    /** Returns the usual time of a route, which may be new. */
    private MovingAverage usualTime(String route) {
        MovingAverage usual = routes.computeIfAbsent(route, key -> new MovingAverage(ROUTE_WEIGHT));
        if (routes.size() > MAX_ROUTES) {
            routes.remove(routes.keySet().iterator().next());
        }
        return usual;
    }

    /** Updates whether an upstream is slow, and when it receives its next trial request. */
    private SpeedChange update(Speed speed, MovingAverage usual, double deviation, long nowMillis) {
        double reference = reference();
        double ratio = Math.exp(speed.recent.value() - reference);
        double delayMillis = Math.exp(usual.value() + reference) * (ratio - 1);
        boolean before = speed.slow;
        boolean answerLong = Math.exp(deviation - reference) >= ResponseTimeTable.SLOW_RATIO;
        boolean twoLong = answerLong && speed.lastAnswerLong;
        speed.lastAnswerLong = answerLong;
        speed.slow = (before || twoLong)
                && ratio >= (before ? ResponseTimeTable.RECOVERED_RATIO : ResponseTimeTable.SLOW_RATIO)
                && delayMillis >= ResponseTimeTable.MIN_DELAY_MILLIS;
        speed.trialFromMillis = nowMillis + (answerLong ? ResponseTimeTable.TRIAL_INTERVAL_MILLIS : 0);
        if (speed.slow == before) {
            return SpeedChange.NONE;
        }
        return speed.slow ? SpeedChange.SLOW : SpeedChange.RECOVERED;
    }

    /**
     * Returns the speed of the fastest upstream: the lowest long-term or the lowest recent one, whichever is slower.
     * The first varies little, and the second follows at once if all upstreams turn slow together.
     */
    private double reference() {
        double steady = Double.MAX_VALUE;
        double recent = Double.MAX_VALUE;
        for (Speed speed : upstreams.values()) {
            steady = Math.min(steady, speed.steady.value());
            recent = Math.min(recent, speed.recent.value());
        }
        return upstreams.size() < 2 ? Math.min(0, steady) : Math.max(steady, recent);
    }

    /** Records that a request was sent to an upstream. */
    void sent(UpstreamId upstream, long nowMillis) {
        Speed speed = upstreams.get(upstream);
        if (speed != null && speed.slow && nowMillis >= speed.trialFromMillis) {
            speed.trialFromMillis = nowMillis + ResponseTimeTable.TRIAL_INTERVAL_MILLIS;
        }
    }

    /** Returns the slowdown of an upstream; 1 if it is not slow or is due for a trial request. */
    double slowdown(UpstreamId upstream, long nowMillis) {
        Speed speed = upstreams.get(upstream);
        if (speed == null || !speed.slow || nowMillis >= speed.trialFromMillis) {
            return 1;
        }
        return Math.max(1, Math.exp(speed.recent.value() - reference()));
    }

    /** Returns the expected time to an answer, in milliseconds; 0 if it is unknown. */
    double expectedMillis(String route, UpstreamId upstream) {
        MovingAverage usual = routes.get(route);
        Speed speed = upstreams.get(upstream);
        return usual == null || speed == null ? 0 : Math.exp(usual.value() + speed.recent.value());
    }

    /** Removes upstreams that are no longer listed; returns whether any is left. */
    boolean retain(Predicate<UpstreamId> listed) {
        upstreams.keySet().removeIf(id -> !listed.test(id));
        return !upstreams.isEmpty();
    }
}
