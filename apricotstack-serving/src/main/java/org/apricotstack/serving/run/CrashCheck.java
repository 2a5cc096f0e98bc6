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
 * Finds out whether an upstream crashed when requests to it were interrupted or fell silent, or whether only their
 * connections failed.
 *
 * <p>The host of a crashed process refuses the next connection at once. A draining process exits as planned, which says
 * nothing about the requests that were still in flight there.
 */
final class CrashCheck {

    /** Time for which one result is reused for all requests that were interrupted at an upstream, in milliseconds. */
    private static final long CACHE_MILLIS = 500;

    /** Failures that may be caused by a crash; a connection may also fall silent when its upstream crashes. */
    private static final Set<FailureKind> POSSIBLE_CRASH =
            EnumSet.of(FailureKind.RESET, FailureKind.CUT, FailureKind.CUT_WHILE_SENDING, FailureKind.SILENT);

    /** Maximum of remembered planned stops; each is needed until the requests that ran there have ended. */
    private static final int MAX_PLANNED_STOPS = 64;

    private final ServingContext context;
    private final Set<UpstreamId> plannedStops = new LinkedHashSet<>();
    private final Map<UpstreamId, Query> queries = new HashMap<>();

    /**
     * A check of an upstream.
     *
     * @param atMillis when the check was started
     * @param crashed the result, shared by all requests
     */
    private record Query(long atMillis, Mono<Boolean> crashed) {}

    /** Creates a check. */
    CrashCheck(ServingContext context) {
        this.context = context;
    }

    /** Returns whether a failure may mean that the upstream crashed rather than stopped as planned. */
    boolean mayHaveCrashed(UpstreamEntry upstream, FailureKind kind) {
        return POSSIBLE_CRASH.contains(kind)
                && !plannedStops.contains(upstream.id())
                && (context.upstreams().hasRestarted(upstream.id()) || isListedAndServing(upstream.id()));
    }

    /** Records that an incarnation of an upstream exited after draining. */
    void stoppedAsPlanned(UpstreamId incarnation) {
        plannedStops.add(incarnation);
        if (plannedStops.size() > MAX_PLANNED_STOPS) {
            plannedStops.remove(plannedStops.iterator().next());
        }
    }

    /** Returns whether an incarnation of an upstream is listed and not draining. */
    boolean isListedAndServing(UpstreamId incarnation) {
        return context.upstreams().find(incarnation) != null
                && !context.upstreams().isDraining(incarnation);
    }

    /** Returns whether an upstream crashed at which a request was just interrupted; may take some milliseconds. */
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

    /** Returns whether the upstream's host refuses a connection, so that the process no longer runs. */
    Mono<Boolean> isConnectionRefused(UpstreamEntry upstream) {
        return context.connections().isConnectionRefused(upstream.address());
    }
}
