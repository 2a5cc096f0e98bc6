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
 * the other engines, and these pause too. If other streams of the engine go on, only this one is lost. If none does,
 * the engine is asked: one that answers is busy, one that does not, or that has started again since, is gone.
 */
final class SilenceCheck {

    /** Events of other streams count as a sign of life for this time, in milliseconds: a few passes. */
    private static final long ALIVE_MILLIS = 300;

    /** Time for which an answer of an engine serves all streams, in milliseconds, as asking is priced. */
    private static final long SHARED_MILLIS = 500;

    private final RunContext context;
    private final Map<UpstreamId, Long> progressMillis = new HashMap<>();
    private final Map<UpstreamId, Asked> asked = new HashMap<>();

    /**
     * A question to an engine.
     *
     * @param atMillis when it was asked
     * @param answer its answer, which all streams share
     */
    private record Asked(long atMillis, Mono<Boolean> answer) {}

    /** Creates a check. */
    SilenceCheck(RunContext context) {
        this.context = context;
    }

    /** Notes an event of an engine. */
    void progress(UpstreamId engine) {
        progressMillis.put(engine, context.nowMillis());
    }

    /** Tells whether a silent stream is lost; the answer may take a fraction of a second. */
    Mono<Boolean> lost(UpstreamEntry engine) {
        return showsLife(engine) ? Mono.just(true) : answer(engine);
    }

    /** Tells whether a silent engine is gone; the answer may take a fraction of a second. */
    Mono<Boolean> gone(UpstreamEntry engine) {
        return showsLife(engine) ? Mono.just(false) : answer(engine);
    }

    /** Tells whether other streams of an engine go on. */
    private boolean showsLife(UpstreamEntry engine) {
        Long last = progressMillis.get(engine.id());
        return last != null && context.nowMillis() - last < ALIVE_MILLIS;
    }

    /** Asks an engine unless it was asked a moment ago; the result says whether it is gone. */
    private Mono<Boolean> answer(UpstreamEntry engine) {
        long now = context.nowMillis();
        Asked before = asked.get(engine.id());
        if (before == null || now - before.atMillis() > SHARED_MILLIS) {
            before = new Asked(now, ask(engine));
            asked.put(engine.id(), before);
        }
        return before.answer();
    }

    /** Asks an engine; the result says whether it is gone. */
    private Mono<Boolean> ask(UpstreamEntry engine) {
        return context.engines()
                .report(engine)
                .map(report -> {
                    UpstreamId answering = new UpstreamId(engine.id().value(), report.incarnation());
                    if (answering.isLaterStartOf(engine.id())) {
                        return true;
                    }
                    context.board().load(engine.id()).pace(report.pace());
                    context.log()
                            .line("engine_reported")
                            .put("upstream", engine.id().value())
                            .put("pace_percent", Math.round(report.pace() * 100))
                            .write();
                    return false;
                })
                .onErrorReturn(true)
                .cache();
    }
}
