package org.apricotstack.adapters.metrics;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.entry.EntryMetrics;
import org.apricotstack.core.failure.Outcome;
import org.apricotstack.core.failure.Refusal;
import org.apricotstack.core.failure.RefusalReason;
import org.apricotstack.core.owner.OwnerMetrics;
import org.apricotstack.core.replication.ApplyResult;
import org.apricotstack.core.replication.ReplicationTopic;
import org.apricotstack.core.retry.RetryReason;
import org.apricotstack.core.routing.GroupChoice;
import org.apricotstack.core.stream.StreamVerdict;

/**
 * The counters, gauges and histograms of one router. The counters of all reasons are registered at creation, so that
 * a reason that never occurred is reported as zero instead of being absent.
 */
public final class RouterMetrics implements EntryMetrics, OwnerMetrics {

    private static final long WINDOW_SECONDS = 60;

    private final MetricRegistry registry = new MetricRegistry();
    private final Map<RefusalReason, Counter> refusedNotRun;
    private final Map<RefusalReason, Counter> refusedUnknown;
    private final Map<RefusalReason, Counter> attemptsRefused;
    private final Map<RetryReason, Counter> retries;
    private final Map<GroupChoice.Reason, Counter> choices;
    private final Map<StreamVerdict, Counter> entryDropped;
    private final Map<StreamVerdict, Counter> ownerDropped;
    private final Map<LengthClass, Histogram> firstTokenMillis = new EnumMap<>(LengthClass.class);
    private final Counter whileLeaving = registry.counter("entry.requests.while_leaving");
    private final Counter completed = registry.counter("entry.requests.completed");
    private final Counter budgetExhausted = registry.counter("entry.retries.budget_exhausted");
    private final Counter promptTokens = registry.counter("owner.prompt_tokens");
    private final Counter cachedTokens = registry.counter("owner.cached_tokens");
    private final Counter released = registry.counter("owner.memory_released");
    private final Counter ordersAccepted = registry.counter("owner.orders.taken");
    private final Counter ordersRefused = registry.counter("owner.orders.refused");

    /** Creates the metrics. */
    public RouterMetrics() {
        refusedNotRun = counters(RefusalReason.class, r -> "entry.refused.not_run." + r.code());
        refusedUnknown = counters(RefusalReason.class, r -> "entry.refused.unknown." + r.code());
        attemptsRefused = counters(RefusalReason.class, r -> "owner.attempts.refused." + r.code());
        retries = counters(RetryReason.class, r -> "entry.retries." + r.code());
        choices = counters(GroupChoice.Reason.class, r -> "entry.group_chosen." + lower(r));
        entryDropped = counters(StreamVerdict.class, v -> "entry.events_dropped." + lower(v));
        ownerDropped = counters(StreamVerdict.class, v -> "owner.events_dropped." + lower(v));
        for (LengthClass lengthClass : LengthClass.values()) {
            SlidingTimeWindowArrayReservoir window =
                    new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS);
            firstTokenMillis.put(
                    lengthClass,
                    registry.register("entry.first_token_millis." + lower(lengthClass), new Histogram(window)));
        }
        for (ReplicationTopic topic : ReplicationTopic.values()) {
            for (ApplyResult applied : ApplyResult.values()) {
                registry.counter(applyResultName(topic, applied));
            }
        }
    }

    /** Creates a counter for each constant. */
    private <E extends Enum<E>> Map<E, Counter> counters(Class<E> type, Function<E, String> name) {
        Map<E, Counter> counters = new EnumMap<>(type);
        for (E constant : type.getEnumConstants()) {
            counters.put(constant, registry.counter(name.apply(constant)));
        }
        return counters;
    }

    /** Returns the name of a constant in lower case. */
    private static String lower(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    /** Returns the name of the counter for a result of applying a delta. */
    private static String applyResultName(ReplicationTopic topic, ApplyResult applied) {
        return "replication." + lower(topic) + "." + lower(applied);
    }

    /**
     * Returns the registry, for reporters.
     *
     * @return the registry
     */
    public MetricRegistry registry() {
        return registry;
    }

    /**
     * Registers a gauge.
     *
     * @param name its name
     * @param gauge returns its value
     */
    public void gauge(String name, Gauge<?> gauge) {
        registry.register(name, gauge);
    }

    /**
     * Counts the result of applying a delta.
     *
     * @param topic the document set
     * @param applied the result
     */
    public void deltaApplied(ReplicationTopic topic, ApplyResult applied) {
        registry.counter(applyResultName(topic, applied)).inc();
    }

    /** Counts a request that was accepted while the router was leaving. */
    public void requestWhileLeaving() {
        whileLeaving.inc();
    }

    @Override
    public void requestRefused(Refusal refusal) {
        boolean notRun = refusal.outcome() == Outcome.NOT_RUN;
        (notRun ? refusedNotRun : refusedUnknown).get(refusal.reason()).inc();
    }

    @Override
    public void requestCompleted() {
        completed.inc();
    }

    @Override
    public void attemptRetried(RetryReason reason) {
        retries.get(reason).inc();
    }

    @Override
    public void retryBudgetExhausted() {
        budgetExhausted.inc();
    }

    @Override
    public void groupChosen(GroupChoice.Reason reason) {
        choices.get(reason).inc();
    }

    @Override
    public void eventDropped(StreamVerdict verdict) {
        entryDropped.get(verdict).inc();
    }

    @Override
    public void ownerEventDropped(StreamVerdict verdict) {
        ownerDropped.get(verdict).inc();
    }

    @Override
    public void firstToken(LengthClass lengthClass, long millis) {
        firstTokenMillis.get(lengthClass).update(millis);
    }

    @Override
    public void attemptRefused(RefusalReason reason) {
        attemptsRefused.get(reason).inc();
    }

    @Override
    public void promptServed(long prompt, long cached) {
        promptTokens.inc(prompt);
        cachedTokens.inc(cached);
    }

    @Override
    public void memoryReleased() {
        released.inc();
    }

    @Override
    public void orderSent(boolean accepted) {
        (accepted ? ordersAccepted : ordersRefused).inc();
    }
}
