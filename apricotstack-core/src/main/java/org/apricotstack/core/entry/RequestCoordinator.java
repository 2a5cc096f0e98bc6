package org.apricotstack.core.entry;

import org.apricotstack.core.retry.RetryBudget;
import org.apricotstack.core.routing.GroupLoadTable;
import org.apricotstack.core.stream.AttemptSignal;
import org.apricotstack.core.time.MonotonicClock;
import reactor.core.publisher.Flux;
import reactor.core.scheduler.Scheduler;

/**
 * Runs admitted requests: chooses groups, dispatches attempts, retries them where that is safe, and enforces time
 * limits.
 */
public final class RequestCoordinator {

    private final GroupFinder finder;
    private final AttemptDispatcher dispatcher;
    private final GroupLoadTable loads;
    private final RetryBudget budget;
    private final EntryMetrics metrics;
    private final MonotonicClock clock;
    private final Scheduler timer;
    private final TimeLimits limits;

    /**
     * Creates a coordinator.
     *
     * @param finder chooses groups and owners
     * @param dispatcher dispatches attempts to owners
     * @param loads records the loads that replies carry
     * @param budget limits retries
     * @param metrics counters
     * @param clock the local clock
     * @param timer runs the timers of time limits
     */
    public RequestCoordinator(
            GroupFinder finder,
            AttemptDispatcher dispatcher,
            GroupLoadTable loads,
            RetryBudget budget,
            EntryMetrics metrics,
            MonotonicClock clock,
            Scheduler timer) {
        this.finder = finder;
        this.dispatcher = dispatcher;
        this.loads = loads;
        this.budget = budget;
        this.metrics = metrics;
        this.clock = clock;
        this.timer = timer;
        this.limits = new TimeLimits(clock, timer);
    }

    /**
     * Runs a request.
     *
     * @param request the request
     * @return heartbeats, head and chunks of the answer, ending with {@code Completed}; or an error with the {@link
     *     org.apricotstack.core.failure.RefusedException} for the caller. Cancelling the subscription cancels the work
     */
    public Flux<AttemptSignal> run(AdmittedRequest request) {
        return Flux.defer(() -> new RequestRun(this, request).signals());
    }

    /** Returns the time limits. */
    TimeLimits limits() {
        return limits;
    }

    /** Returns the group finder. */
    GroupFinder finder() {
        return finder;
    }

    /** Returns the dispatcher. */
    AttemptDispatcher dispatcher() {
        return dispatcher;
    }

    /** Returns the loads of the groups. */
    GroupLoadTable loads() {
        return loads;
    }

    /** Returns the retry budget. */
    RetryBudget budget() {
        return budget;
    }

    /** Returns the counters. */
    EntryMetrics metrics() {
        return metrics;
    }

    /** Returns the local clock. */
    MonotonicClock clock() {
        return clock;
    }

    /** Returns the timer. */
    Scheduler timer() {
        return timer;
    }
}
