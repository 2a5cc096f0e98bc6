package org.apricotstack.serving.run;

import org.apricotstack.core.engine.EngineProfile;

/** Estimates whether a begun stream is complete before the end of this stopping router. */
final class StopOutlook {

    /** Events of an attempt from which its pace is known. */
    private static final int MIN_EVENTS = 4;

    private final ServingContext context;
    private final RequestFacts facts;
    private final StreamProgress progress;

    /** Creates the outlook of a request. */
    StopOutlook(ServingContext context, RequestFacts facts, StreamProgress progress) {
        this.context = context;
        this.facts = facts;
        this.progress = progress;
    }

    /**
     * Returns whether the stream, at the pace of its engine so far, lasts longer than this stopping router. Its answer
     * is assumed to reach the limit of its length.
     */
    boolean outlastsStop(long nowMillis) {
        if (!context.stop().timeline().stopping() || !facts.runsOnEngines() || progress.attemptEvents() < MIN_EVENTS) {
            return false;
        }
        double remainingEvents = remainingTokens() / (double) engine().decodeStepsPerBatchStep();
        long millis = Math.round(remainingEvents * progress.millisPerEvent(nowMillis));
        return !context.stop().takes(Math.min(millis, facts.remainingMillis(nowMillis)), nowMillis);
    }

    /** Returns whether an attempt at the chosen upstreams would be complete before the end of a stopping router. */
    boolean completesBeforeStop(UpstreamChoice choice, long nowMillis) {
        StopGate stop = context.stop();
        if (!stop.timeline().stopping()) {
            return true;
        }
        return stop.takes(stop.longestMillis(facts, remainingTokens(), choice, nowMillis), nowMillis);
    }

    /** Returns the length of the longest rest of the answer, in tokens. */
    private long remainingTokens() {
        if (!facts.runsOnEngines()) {
            return 0;
        }
        return Math.max(1, facts.answerTokens() - progress.events() * engine().decodeStepsPerBatchStep());
    }

    /** Returns the performance profile of the service's engines. */
    private EngineProfile engine() {
        return facts.profile().engine().orElseThrow();
    }
}
