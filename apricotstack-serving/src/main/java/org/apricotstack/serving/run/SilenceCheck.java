package org.apricotstack.serving.run;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.UpstreamEntry;
import reactor.core.publisher.Mono;

/**
 * Finds out why an engine is silent, before its stream is moved and the whole prompt is prefilled again elsewhere.
 *
 * <p>Without this check, overload spreads: all streams of an overloaded engine stall, each is moved, every move adds
 * prefill work to the other engines, and these stall too. A stream that stalls while others of its engine continue was
 * lost on its own. In all other cases the engine is queried. One that does not answer, or that has restarted since, is
 * dead. One with a non-empty queue is overloaded and not faulty, as a request without a first event is most likely in
 * that queue; if that were counted as a failure, the engine would be avoided and the others would have to take its
 * load.
 */
final class SilenceCheck {

    /**
     * Time for which an event of another stream proves that the engine is alive, in milliseconds: a few batch steps.
     */
    private static final long ALIVE_MILLIS = 300;

    /**
     * Time for which a status report is reused for all streams of the engine, in milliseconds, because status calls
     * cost money.
     */
    private static final long CACHE_MILLIS = 500;

    private final ServingContext context;
    private final UpstreamGates gates;
    private final Map<UpstreamId, Long> lastEventMillis = new HashMap<>();
    private final Map<UpstreamId, Query> queries = new HashMap<>();

    /**
     * A status query to an engine.
     *
     * @param atMillis when the query was sent
     * @param answer the result, shared by all streams
     */
    private record Query(long atMillis, Mono<SilenceCause> answer) {}

    /** Creates a check. */
    SilenceCheck(ServingContext context, UpstreamGates gates) {
        this.context = context;
        this.gates = gates;
    }

    /** Records an event of an engine. */
    void eventReceived(UpstreamId engine) {
        lastEventMillis.put(engine, context.nowMillis());
    }

    /**
     * Returns why an engine is silent on a request; may take a fraction of a second.
     *
     * @param choice the engine and its helpers
     * @param answerStarted whether events of the request have arrived
     */
    Mono<SilenceCause> cause(UpstreamChoice choice, boolean answerStarted) {
        UpstreamEntry engine = choice.upstream();
        if (hasRecentEvents(engine) && answerStarted) {
            return Mono.just(SilenceCause.PASSED_OVER);
        }
        boolean excused = !hasRecentEvents(engine) || waitsForHelpers(choice);
        return answer(engine).map(found -> excused && found == SilenceCause.PASSED_OVER ? SilenceCause.BUSY : found);
    }

    /**
     * Returns whether helpers still prefill their parts of the prompt. The queue of the responding engine does not show
     * that, as helpers run newer parts first. If the request were taken for lost, its whole prompt would be prefilled
     * again.
     */
    private boolean waitsForHelpers(UpstreamChoice choice) {
        return !choice.helpers().isEmpty()
                && context.loadTable().remainingPrefillMillis(choice.placement().id(), context.nowMillis()) > 0;
    }

    /** Returns whether a silent engine is dead; may take a fraction of a second. */
    Mono<Boolean> isDead(UpstreamEntry engine) {
        return hasRecentEvents(engine) ? Mono.just(false) : answer(engine).map(found -> found == SilenceCause.DEAD);
    }

    /** Returns whether an event of any stream of an engine has arrived recently. */
    private boolean hasRecentEvents(UpstreamEntry engine) {
        Long last = lastEventMillis.get(engine.id());
        return last != null && context.nowMillis() - last < ALIVE_MILLIS;
    }

    /** Queries an engine unless a recent result exists; {@code PASSED_OVER} means that its queue is empty. */
    private Mono<SilenceCause> answer(UpstreamEntry engine) {
        long now = context.nowMillis();
        Query before = queries.get(engine.id());
        if (before == null || now - before.atMillis() > CACHE_MILLIS) {
            before = new Query(now, query(engine));
            queries.put(engine.id(), before);
        }
        return before.answer();
    }

    /**
     * Queries an engine if it may be queried now. One that is blocked by its rate limit or a back-off counts as
     * overloaded.
     */
    private Mono<SilenceCause> query(UpstreamEntry engine) {
        if (gates.backOffs().blockedMillis(engine.id()) > 0) {
            return Mono.just(SilenceCause.BUSY);
        }
        return Mono.<Boolean>create(sink -> gates.limits().acquire(engine.id(), sink::success))
                .flatMap(granted -> granted ? report(engine) : Mono.just(SilenceCause.BUSY))
                .cache();
    }

    /** Requests and evaluates an engine's status report. */
    private Mono<SilenceCause> report(UpstreamEntry engine) {
        long sentMillis = context.nowMillis();
        return context.engines()
                .report(engine, notice -> gates.answered(engine.id(), notice, sentMillis, null))
                .map(report -> {
                    UpstreamId answering = new UpstreamId(engine.id().value(), report.incarnation());
                    if (answering.isLaterIncarnationOf(engine.id())) {
                        return SilenceCause.DEAD;
                    }
                    context.loadTable().load(engine.id()).slowdown(report.slowdown());
                    context.log()
                            .line("engine_reported")
                            .put("upstream", engine.id().value())
                            .put("pace_percent", Math.round(report.slowdown() * 100))
                            .put("queued", report.queued())
                            .write();
                    return report.queued() > 0 ? SilenceCause.BUSY : SilenceCause.PASSED_OVER;
                })
                .onErrorReturn(SilenceCause.DEAD);
    }
}
