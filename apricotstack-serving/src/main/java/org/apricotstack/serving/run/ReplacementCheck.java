package org.apricotstack.serving.run;

import java.util.Set;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.observe.KeptCause;
import org.apricotstack.serving.observe.RefusalCause;

/** Decides whether an attempt that is in flight may be given up for another one. */
final class ReplacementCheck {

    private final ServingContext context;
    private final UpstreamChooser chooser;
    private final RequestFacts facts;
    private final AttemptCount attempts;
    private final StreamProgress progress;
    private final RequestLog log;
    private final Set<UpstreamId> excluded;

    /** Creates a check; the set of excluded upstreams may change later. */
    ReplacementCheck(
            ServingContext context,
            UpstreamChooser chooser,
            RequestFacts facts,
            AttemptCount attempts,
            StreamProgress progress,
            RequestLog log,
            Set<UpstreamId> excluded) {
        this.context = context;
        this.chooser = chooser;
        this.facts = facts;
        this.attempts = attempts;
        this.progress = progress;
        this.log = log;
        this.excluded = excluded;
    }

    /** Returns why the request may not be retried after a failure of its attempt; {@code null} if it may. */
    KeptCause retryObstacle(FailureKind kind) {
        long now = context.nowMillis();
        RefusalCause refusal = attempts.retryRefusal(kind, false, facts.remainingMillis(now));
        if (refusal == null) {
            return context.budgets().of(facts.service()).left(now) < 1 ? KeptCause.RETRY_BUDGET : null;
        }
        return switch (refusal) {
            case MAY_HAVE_RUN -> KeptCause.MAY_HAVE_RUN;
            case ATTEMPTS_USED -> KeptCause.ATTEMPTS_USED;
            default -> KeptCause.TIME_LIMIT;
        };
    }

    /** Returns whether a stream that waits for a busy engine would get its next event sooner at another one. */
    boolean wouldBeFasterElsewhere(Attempt attempt) {
        return chooser.fasterElsewhere(facts, attempt.choice(), progress.answerStarted(), excluded);
    }

    /** Records that an attempt is not given up although its upstream is silent. */
    void keptDespiteSilence(Attempt attempt, KeptCause cause) {
        log.keptDespiteSilence(attempt, cause, context.nowMillis());
    }
}
