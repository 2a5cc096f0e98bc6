package org.apricotstack.core.upstream;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

import org.apricotstack.core.id.ServiceId;
import org.apricotstack.core.id.UpstreamId;

/**
 * The speeds of plain upstreams as this router's own requests observe them.
 *
 * <p>The time of each answer is compared with the usual time of its route, so that routes with different work can share
 * a service. An upstream is slow if its answers take at least {@link #SLOW_RATIO} times as long as those of the fastest
 * upstream of its service, also each of the last two; if all are equally slow, none is. A slow upstream that has not
 * been used for {@link #TRIAL_INTERVAL_MILLIS} counts as normal for one request, and for the next one as soon as that
 * was fast.
 */
public final class ResponseTimeTable {

    /** Ratio to the fastest upstream from which an upstream is slow; answers of normal upstreams vary by half. */
    static final double SLOW_RATIO = 2.5;

    /** Ratio to the fastest upstream below which a slow upstream has recovered. */
    static final double RECOVERED_RATIO = 1.7;

    /** Delay below which no upstream is slow, in milliseconds: callers with the tightest targets do not notice it. */
    static final long MIN_DELAY_MILLIS = 20;

    /**
     * Time after which a slow upstream receives a trial request, in milliseconds. A router with one request a second
     * then gives one caller in six a slow answer at most.
     */
    static final long TRIAL_INTERVAL_MILLIS = 6_000;

    private final Map<ServiceId, ServiceSpeeds> services = new HashMap<>();

    /**
     * Records a complete answer.
     *
     * @param service the service
     * @param route name of the route
     * @param upstream the upstream
     * @param millis time from sending the request to the complete answer, in milliseconds
     * @param nowMillis the time
     * @return how the known speed of the upstream changed
     */
    public SpeedChange answered(ServiceId service, String route, UpstreamId upstream, long millis, long nowMillis) {
        return services.computeIfAbsent(service, key -> new ServiceSpeeds())
                .answered(route, upstream, millis, nowMillis);
    }

    /**
     * Records that a request was sent. A slow upstream receives its next trial request after an interval.
     *
     * @param service the service
     * @param upstream the upstream
     * @param nowMillis the time
     */
    public void sent(ServiceId service, UpstreamId upstream, long nowMillis) {
        ServiceSpeeds speeds = services.get(service);
        if (speeds != null) {
            speeds.sent(upstream, nowMillis);
        }
    }

    /**
     * Returns how many times as long as the fastest upstream of its service an upstream takes.
     *
     * @param service the service
     * @param upstream the upstream
     * @param nowMillis the time
     * @return 1 if it is not slow or is due for a trial request
     */
    public double slowdown(ServiceId service, UpstreamId upstream, long nowMillis) {
        ServiceSpeeds speeds = services.get(service);
        return speeds == null ? 1 : speeds.slowdown(upstream, nowMillis);
    }

    /**
     * Returns the expected time to an answer.
     *
     * @param service the service
     * @param route name of the route
     * @param upstream the upstream
     * @return milliseconds; 0 if there was no answer on the route
     */
    public double expectedMillis(ServiceId service, String route, UpstreamId upstream) {
        ServiceSpeeds speeds = services.get(service);
        return speeds == null ? 0 : speeds.expectedMillis(route, upstream);
    }

    /**
     * Removes upstreams that are no longer listed, and services without upstreams.
     *
     * @param listed tells whether an incarnation of an upstream is listed
     */
    public void retain(Predicate<UpstreamId> listed) {
        services.values().removeIf(speeds -> !speeds.retain(listed));
    }
}
