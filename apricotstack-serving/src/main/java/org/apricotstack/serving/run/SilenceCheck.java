package org.apricotstack.serving.run;

import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.UpstreamEntry;
import reactor.core.publisher.Mono;

/**
 * Finds out why an engine is silent, before a stream is moved and its whole prompt read again elsewhere.
 *
 * <p>What goes wrong without it: under load all streams of an engine pause, each is moved, every move adds reading to
 * the other engines, and these pause too. A stream that stops while others of its engine go on is lost alone. In all
 * other cases the engine is asked: one that does not answer, or that has started again since, is gone. One whose queue
 * is not empty is overloaded and not faulty: a request without a first event is most likely in that queue. Taken for a
 * fault, the engine would be avoided, and the others would have to take its load.
 */
final class SilenceCheck {

    /** Events of other streams count as a sign of life for this time, in milliseconds: a few passes. */
    private static final long ALIVE_MILLIS = 300;

    /** Time for which an answer of an engine serves all streams, in milliseconds, as asking is priced. */
    private static final long CACHE_MILLIS = 500;

    private final ServingContext context;
    private final UpstreamGates gates;
    private final Map<UpstreamId, Long> lastEventMillis = new HashMap<>();
    private final Map<UpstreamId, Query> queries = new HashMap<>();

    /**
     * A question to an engine.
     *
     * @param atMillis when the query was sent
     * @param answer its answer, which all streams share
     */
    private record Query(long atMillis, Mono<SilenceCause> answer) {}

    /** Creates a check. */
    SilenceCheck(ServingContext context, UpstreamGates gates) {
        this.context = context;
        this.gates = gates;
    }

    /** Notes an event of an engine. */
    void eventReceived(UpstreamId engine) {
        lastEventMillis.put(engine, context.nowMillis());
    }

    /**
     * Says why an engine is silent on a request; the answer may take a fraction of a second.
     *
     * @param choice the engine and those that help it
     * @param answerStarted whether events of the request came before
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
     * Tells whether helpers still read parts of the prompt. The queue of the engine that answers says nothing of them,
     * as newer parts go ahead of them at the helpers. Taken for lost, the whole prompt would be read again.
     */
    private boolean waitsForHelpers(UpstreamChoice choice) {
        return !choice.helpers().isEmpty()
                && context.loadTable().remainingPrefillMillis(choice.placement().id(), context.nowMillis()) > 0;
    }

    /** Tells whether a silent engine is gone; the answer may take a fraction of a second. */
    Mono<Boolean> isDead(UpstreamEntry engine) {
        return hasRecentEvents(engine) ? Mono.just(false) : answer(engine).map(found -> found == SilenceCause.DEAD);
    }

    /** Tells whether other streams of an engine go on. */
    private boolean hasRecentEvents(UpstreamEntry engine) {
        Long last = lastEventMillis.get(engine.id());
        return last != null && context.nowMillis() - last < ALIVE_MILLIS;
    }

    /** Asks an engine unless it was asked a moment ago; passed over means that nothing waits there. */
    private Mono<SilenceCause> answer(UpstreamEntry engine) {
        long now = context.nowMillis();
        Query before = queries.get(engine.id());
        if (before == null || now - before.atMillis() > CACHE_MILLIS) {
            before = new Query(now, ask(engine));
            queries.put(engine.id(), before);
        }
        return before.answer();
    }

    /**
     * Asks an engine if it may be asked now. One whose limit lets no request pass, or that asked for a back-off, counts
     * as overloaded.
     */
    private Mono<SilenceCause> ask(UpstreamEntry engine) {
        if (gates.backOffs().blockedMillis(engine.id()) > 0) {
            return Mono.just(SilenceCause.BUSY);
        }
        return Mono.<Boolean>create(sink -> gates.limits().acquire(engine.id(), sink::success))
                .flatMap(granted -> granted ? report(engine) : Mono.just(SilenceCause.BUSY))
                .cache();
    }

    /** Reads an engine's report. */
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
