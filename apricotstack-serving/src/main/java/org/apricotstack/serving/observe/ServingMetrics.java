package org.apricotstack.serving.observe;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import org.apricotstack.core.engine.ReservationResult;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.notice.AdvertisedBackOff;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.core.route.RequestKind;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.SpeedChange;

/**
 * Counters, gauges and histograms of one router. The counter of each cause exists from the start, so that it is
 * exported as zero.
 */
public final class ServingMetrics {

    private static final long WINDOW_SECONDS = 60;

    /** Prefix of the gauge names of upstreams' rate limits. */
    private static final String LIMIT_GAUGES = "limits.per_second.";

    /** Prefix of the gauge names of evacuated data centres. */
    private static final String EVACUATION_GAUGES = "evacuations.in_force.";

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<RefusalCause, Counter> refusals = counters(RefusalCause.class, c -> "refusals." + c.code());
    private final Map<FailureKind, Counter> failures = counters(FailureKind.class, k -> "attempts.failed." + k.code());
    private final Map<FailureKind, Counter> retries = counters(FailureKind.class, k -> "retries." + k.code());
    private final Map<KeptCause, Counter> kept =
            counters(KeptCause.class, c -> "attempts.kept_despite_silence." + c.code());
    private final Map<RequestKind, Counter> served = counters(RequestKind.class, k -> "served." + lower(k));
    private final Map<LimitChange, Counter> limitChanges = counters(LimitChange.class, c -> "limits." + c.code());
    private final Map<String, Double> shownLimits = new ConcurrentHashMap<>();
    private final Set<String> shownEvacuations = new HashSet<>();
    private final Map<PassedOverCause, Counter> passedOver =
            counters(PassedOverCause.class, cause -> "passed_over." + cause.code());
    private final Map<ReservationResult.Kind, Counter> reservations =
            counters(ReservationResult.Kind.class, kind -> "reservations." + kind.code());
    private final Counter reservedInVain = registry.counter("reservations.in_vain");
    private final Map<SpeedChange, Counter> speedChanges =
            counters(SpeedChange.class, change -> "upstream_speed." + lower(change));
    private final Map<ConnectionCloseCause, Counter> connectionCloses =
            counters(ConnectionCloseCause.class, cause -> "connections.closed." + cause.code());
    private final UpstreamResponseMetrics upstreamResponses = new UpstreamResponseMetrics(registry);
    private final Counter closeLinesSuppressed = registry.counter("connections.close_lines_suppressed");
    private final Counter limitsUnreadable = registry.counter("limits.unreadable");
    private final Counter coldBegan = registry.counter("cold.began");
    private final Counter coldUnreadable = registry.counter("cold.unreadable");
    private final Counter drainsAnnounced = registry.counter("drains.announced");
    private final Counter drainsUnreadable = registry.counter("drains.unreadable");
    private final Map<AdvertisedBackOff.Kind, Counter> backOffs =
            counters(AdvertisedBackOff.Kind.class, kind -> "back_offs." + lower(kind));
    private final Counter arrivedWhileStopping = registry.counter("stops.requests_arrived");
    private final Counter cutByStop = registry.counter("stops.requests_cut");
    private final Counter relayed = registry.counter("attempts.relayed");
    private final Counter tasksFailed = registry.counter("process.tasks_failed");
    private final Counter taskLinesSuppressed = registry.counter("process.task_failure_lines_suppressed");
    private final Counter stalls = registry.counter("process.stalls");
    private final Counter stalledMillis = registry.counter("process.stalled_millis");
    private volatile int backOffsInForce;
    private final Map<RequestKind, Histogram> firstByte = new EnumMap<>(RequestKind.class);
    private final Histogram predictionError = histogram("placement.first_event_error_millis");
    private final Histogram longestTokenGap = histogram("streams.longest_pause_millis");

    /** Creates the metrics. */
    public ServingMetrics() {
        gauge("back_offs.in_force", () -> backOffsInForce);
        for (RequestKind kind : RequestKind.values()) {
            firstByte.put(kind, histogram("first_answer_millis." + lower(kind)));
        }
    }

    /** Creates a counter for each constant. */
    private <E extends Enum<E>> Map<E, Counter> counters(Class<E> type, Function<E, String> name) {
        return EnumCounters.create(registry, type, name);
    }

    /** Creates a histogram over the last minute. */
    private Histogram histogram(String name) {
        return registry.register(
                name, new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)));
    }

    /** Returns the name of a constant in metrics. */
    private static String lower(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /**
     * Adds a gauge.
     *
     * @param name its name
     * @param value supplies its value
     */
    public void gauge(String name, LongSupplier value) {
        Gauge<Long> gauge = value::getAsLong;
        registry.register(name, gauge);
    }

    /**
     * Counts a refused request.
     *
     * @param cause why
     */
    public void refused(RefusalCause cause) {
        refusals.get(cause).inc();
    }

    /**
     * Counts a failed attempt.
     *
     * @param kind how
     */
    public void attemptFailed(FailureKind kind) {
        failures.get(kind).inc();
    }

    /**
     * Counts an attempt that was not given up although its upstream was silent.
     *
     * @param cause why
     */
    public void keptDespiteSilence(KeptCause cause) {
        kept.get(cause).inc();
    }

    /**
     * Counts a retry.
     *
     * @param kind how the previous attempt failed
     */
    public void retried(FailureKind kind) {
        retries.get(kind).inc();
    }

    /**
     * Counts a request that was served completely.
     *
     * @param kind its kind
     */
    public void served(RequestKind kind) {
        served.get(kind).inc();
    }

    /**
     * Counts a change of the rate limit of an upstream.
     *
     * @param change what changed
     */
    public void limitChanged(LimitChange change) {
        limitChanges.get(change).inc();
    }

    /**
     * Exports a gauge for each rate limit in force, in requests a second.
     *
     * @param inForce the limits by upstream
     */
    public void limits(Map<UpstreamId, RateLimit> inForce) {
        if (inForce.isEmpty() && shownLimits.isEmpty()) {
            return;
        }
        Map<String, Double> byName = new HashMap<>();
        inForce.forEach(
                (upstream, limit) -> byName.merge(LIMIT_GAUGES + upstream.value(), limit.perSecond(), Math::min));
        shownLimits.keySet().removeIf(name -> !byName.containsKey(name) && registry.remove(name));
        byName.forEach((name, perSecond) -> {
            if (shownLimits.put(name, perSecond) == null) {
                Gauge<Double> gauge = () -> shownLimits.getOrDefault(name, 0.0);
                registry.register(name, gauge);
            }
        });
    }

    /**
     * Shows the evacuated data centres as one gauge each.
     *
     * @param inForce the data centres
     */
    public void evacuations(List<DataCentreId> inForce) {
        Set<String> names = new HashSet<>();
        inForce.forEach(dataCentre -> names.add(EVACUATION_GAUGES + dataCentre.value()));
        shownEvacuations.removeIf(name -> !names.contains(name) && registry.remove(name));
        names.stream().filter(shownEvacuations::add).forEach(name -> gauge(name, () -> 1));
    }

    /**
     * Counts an attempt for which upstreams were skipped.
     *
     * @param cause why
     */
    public void passedOver(PassedOverCause cause) {
        passedOver.get(cause).inc();
    }

    /**
     * Counts the answer of a helper that was to reserve memory.
     *
     * @param kind the outcome
     */
    public void reservationAnswered(ReservationResult.Kind kind) {
        reservations.get(kind).inc();
    }

    /**
     * Counts reservations that are released without a request that used them.
     *
     * @param count number of reservations
     */
    public void reservedInVain(int count) {
        reservedInVain.inc(count);
    }

    /**
     * Counts a change of the known speed of a plain upstream.
     *
     * @param change what changed
     */
    public void speedChanged(SpeedChange change) {
        speedChanges.get(change).inc();
    }

    /** Counts a response whose rate limit cannot be parsed. */
    public void limitUnreadable() {
        limitsUnreadable.inc();
    }

    /** Counts an upstream that this router found to be cold. */
    public void coldBegan() {
        coldBegan.inc();
    }

    /** Counts an entry or response whose remaining cold time cannot be parsed. */
    public void coldUnreadable() {
        coldUnreadable.inc();
    }

    /** Counts an upstream that started to announce a drain. */
    public void drainAnnounced() {
        drainsAnnounced.inc();
    }

    /** Counts a response whose drain announcement cannot be parsed. */
    public void drainUnreadable() {
        drainsUnreadable.inc();
    }

    /** Counts an attempt that was sent through another router. */
    public void relayed() {
        relayed.inc();
    }

    /**
     * Counts a connection of a caller that this router closes.
     *
     * @param cause why
     */
    public void connectionClosed(ConnectionCloseCause cause) {
        connectionCloses.get(cause).inc();
    }

    /**
     * Returns the counters of responses that are not forwarded as they are.
     *
     * @return counters of this registry
     */
    public UpstreamResponseMetrics upstreamResponses() {
        return upstreamResponses;
    }

    /** Counts a closed connection whose log line is omitted, as there were too many. */
    public void closeLineSuppressed() {
        closeLinesSuppressed.inc();
    }

    /** Counts a request that arrived while this router was stopping. */
    public void arrivedWhileStopping() {
        arrivedWhileStopping.inc();
    }

    /** Counts a task or callback of the event loop that threw an exception or an error. */
    public void taskFailed() {
        tasksFailed.inc();
    }

    /** Counts a failed task whose log line is omitted, as there were too many. */
    public void taskFailureLineSuppressed() {
        taskLinesSuppressed.inc();
    }

    /**
     * Counts a stall of this process.
     *
     * @param millis its length, in milliseconds
     */
    public void stalled(long millis) {
        stalls.inc();
        stalledMillis.inc(millis);
    }

    /** Counts a request that was still in flight when this process ended. */
    public void cutByStop() {
        cutByStop.inc();
    }

    /**
     * Counts a response that rejected a request and contained a back-off, valid or not.
     *
     * @param kind whether the back-off could be parsed
     */
    public void backOff(AdvertisedBackOff.Kind kind) {
        backOffs.get(kind).inc();
    }

    /**
     * Sets the number of upstreams with a back-off in force.
     *
     * @param upstreams number of upstreams
     */
    public void backOffsInForce(int upstreams) {
        backOffsInForce = upstreams;
    }

    /**
     * Records the time to the response, or to the first event of a stream.
     *
     * @param kind the request's kind
     * @param millis from the request's arrival, in milliseconds
     */
    public void firstAnswer(RequestKind kind, long millis) {
        firstByte.get(kind).update(millis);
    }

    /**
     * Records the prediction error of the time to the first event.
     *
     * @param millis observed minus predicted time, in milliseconds
     */
    public void predictionError(long millis) {
        predictionError.update(millis);
    }

    /**
     * Records the longest token gap of a stream.
     *
     * @param millis the token gap, in milliseconds
     */
    public void longestTokenGap(long millis) {
        longestTokenGap.update(millis);
    }

    /**
     * Returns the registry of all metrics.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }
}
