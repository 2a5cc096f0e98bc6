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
final class EndCheck {

    /** Time for which an answer serves all requests that broke off at one upstream, in milliseconds. */
    private static final long SHARED_MILLIS = 500;

    /** Failures of requests whose upstream may have ended; a connection may also fall silent when its upstream ends. */
    private static final Set<FailureKind> MAY_MEAN_END =
            EnumSet.of(FailureKind.RESET, FailureKind.CUT, FailureKind.SILENT);

    /** Upstreams that left as planned and are remembered, until requests that ran there have been ended. */
    private static final int MOST_LEFT = 64;

    private final ServingContext context;
    private final Set<UpstreamId> left = new LinkedHashSet<>();
    private final Map<UpstreamId, Asked> asked = new HashMap<>();

    /**
     * A question to an upstream.
     *
     * @param atMillis when it was asked
     * @param ended its answer, which all requests share
     */
    private record Asked(long atMillis, Mono<Boolean> ended) {}

    /** Creates a check. */
    EndCheck(ServingContext context) {
        this.context = context;
    }

    /** Tells whether a failure may mean that the upstream ended, and was not about to leave. */
    boolean mayHaveEnded(UpstreamEntry upstream, FailureKind kind) {
        return MAY_MEAN_END.contains(kind)
                && !left.contains(upstream.id())
                && (context.upstreams().hasRestarted(upstream.id()) || isListedToStay(upstream.id()));
    }

    /** Notes that a start of an upstream ended after it had been about to leave. */
    void leftAsPlanned(UpstreamId start) {
        left.add(start);
        if (left.size() > MOST_LEFT) {
            left.remove(left.iterator().next());
        }
    }

    /** Tells whether a start of an upstream is listed and not about to leave. */
    boolean isListedToStay(UpstreamId start) {
        return context.upstreams().find(start) != null && !context.upstreams().isDraining(start);
    }

    /** Tells whether an upstream at which a request just broke off has ended; it may take some milliseconds. */
    Mono<Boolean> hasEnded(UpstreamEntry upstream) {
        if (context.upstreams().hasRestarted(upstream.id())) {
            return Mono.just(true);
        }
        long now = context.nowMillis();
        asked.values().removeIf(question -> now - question.atMillis() > SHARED_MILLIS);
        return asked.computeIfAbsent(
                        upstream.id(), id -> new Asked(now, ask(upstream).cache()))
                .ended();
    }

    /** Asks an upstream whether it takes connections; tells whether it has ended. */
    Mono<Boolean> ask(UpstreamEntry upstream) {
        return context.connections().refuses(upstream.address());
    }
}
