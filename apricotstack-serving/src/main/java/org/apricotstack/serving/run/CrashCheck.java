package org.apricotstack.serving.run;

import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.UpstreamEntry;
import reactor.core.publisher.Mono;

/**
 * Finds out whether an upstream ended when requests to it broke off or fell silent, or only their connections did.
 *
 * <p>A process that has ended refuses the next connection at once. One that was told to leave ends as planned, which
 * says nothing of the requests that it still had.
 */
final class CrashCheck {

    /** Time for which an answer serves all requests that broke off at one upstream, in milliseconds. */
    private static final long CACHE_MILLIS = 500;

    /** Failures of requests whose upstream may have ended; a connection may also fall silent when its upstream ends. */
    private static final Set<FailureKind> POSSIBLE_CRASH =
            EnumSet.of(FailureKind.RESET, FailureKind.CUT, FailureKind.SILENT);

    /** Upstreams that left as planned and are remembered, until requests that ran there have been ended. */
    private static final int MAX_PLANNED_STOPS = 64;

    private final ServingContext context;
    private final Set<UpstreamId> plannedStops = new LinkedHashSet<>();
    private final Map<UpstreamId, Query> queries = new HashMap<>();

    /**
     * A question to an upstream.
     *
     * @param atMillis when the query was sent
     * @param crashed its answer, which all requests share
     */
    private record Query(long atMillis, Mono<Boolean> crashed) {}

    /** Creates a check. */
    CrashCheck(ServingContext context) {
        this.context = context;
    }

    /** Tells whether a failure may mean that the upstream ended, and was not about to leave. */
    boolean mayHaveCrashed(UpstreamEntry upstream, FailureKind kind) {
        return POSSIBLE_CRASH.contains(kind)
                && !plannedStops.contains(upstream.id())
                && (context.upstreams().hasRestarted(upstream.id()) || isListedAndServing(upstream.id()));
    }

    /** Notes that a start of an upstream ended after it had been about to leave. */
    void stoppedAsPlanned(UpstreamId incarnation) {
        plannedStops.add(incarnation);
        if (plannedStops.size() > MAX_PLANNED_STOPS) {
            plannedStops.remove(plannedStops.iterator().next());
        }
    }

    /** Tells whether a start of an upstream is listed and not about to leave. */
    boolean isListedAndServing(UpstreamId incarnation) {
        return context.upstreams().find(incarnation) != null
                && !context.upstreams().isDraining(incarnation);
    }

    /** Tells whether an upstream at which a request just broke off has ended; it may take some milliseconds. */
    Mono<Boolean> hasCrashed(UpstreamEntry upstream) {
        if (context.upstreams().hasRestarted(upstream.id())) {
            return Mono.just(true);
        }
        long now = context.nowMillis();
        queries.values().removeIf(query -> now - query.atMillis() > CACHE_MILLIS);
        return queries.computeIfAbsent(
                        upstream.id(),
                        id -> new Query(now, isConnectionRefused(upstream).cache()))
                .crashed();
    }

    /** Asks an upstream whether it takes connections; tells whether it has ended. */
    Mono<Boolean> isConnectionRefused(UpstreamEntry upstream) {
        return context.connections().isConnectionRefused(upstream.address());
    }
}
