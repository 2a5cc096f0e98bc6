package org.apricotstack.serving.run;

import java.util.HashSet;
import java.util.Set;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.observe.KeptCause;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * Decides whether an attempt that is in flight may be given up for another one.
 *
 * <p>An upstream may fall silent for a while and go on. An attempt is therefore given up for silence only if another
 * upstream takes the request for certain, so that a caller never loses an answer that would have gone on.
 */
final class ReplacementCheck {

    private final ServingContext context;
    private final UpstreamChooser chooser;
    private final RequestFacts facts;
    private final AttemptCount attempts;
    private final StreamProgress progress;
    private final RequestLog log;
    private final Set<UpstreamId> excluded;
    private final StopOutlook outlook;

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
        this.outlook = new StopOutlook(context, facts, progress);
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

    /** Returns why a silent attempt is not given up now; {@code null} if another upstream takes the request. */
    KeptCause obstacle(Attempt attempt, FailureKind kind) {
        KeptCause cause = retryObstacle(kind);
        if (cause != null) {
            return cause;
        }
        UpstreamChoice choice = chooseOther(attempt);
        if (choice == null) {
            return KeptCause.NO_REPLACEMENT;
        }
        boolean declined = choice.expensive() || choice.refused();
        if (declined && !progress.answerStarted()) {
            return KeptCause.TOO_DEAR;
        }
        return outlook.completesBeforeStop(choice, context.nowMillis()) ? null : KeptCause.STOPPING;
    }

    /** Returns whether only another upstream would complete a begun stream before the end of this stopping router. */
    boolean completesOnlyElsewhere(Attempt attempt) {
        return outlook.outlastsStop(context.nowMillis()) && obstacle(attempt, FailureKind.OUTLASTS_STOP) == null;
    }

    /** Chooses another upstream for the request of an attempt; {@code null} if none can take it now. */
    private UpstreamChoice chooseOther(Attempt attempt) {
        Set<UpstreamId> others = new HashSet<>(excluded);
        others.add(attempt.upstream().id());
        return chooser.choose(facts, progress.answerStarted(), others);
    }

    /** Returns whether a stream that waits for a busy engine would get its next event sooner at another one. */
    boolean wouldBeFasterElsewhere(Attempt attempt) {
        return chooser.fasterElsewhere(facts, attempt.choice(), progress.answerStarted(), excluded);
    }

    /**
     * Records that an attempt is not given up although its upstream is silent, and the failure of the upstream, if it
     * is known, so that new requests avoid it.
     */
    void keptDespiteSilence(Attempt attempt, KeptCause cause, FailureKind failure) {
        log.keptDespiteSilence(attempt, cause, context.nowMillis());
        if (failure != null) {
            chooser.failed(attempt.choice(), attempt.upstream().id(), failure);
        }
    }
}
