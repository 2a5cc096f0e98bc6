package org.apricotstack.serving.run;

import java.util.HashSet;
import java.util.Set;

import com.google.common.collect.Sets;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.serving.observe.KeptCause;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * Chooses the upstreams of a request's next attempt, and decides whether the attempt in flight may be given up for it.
 *
 * <p>An upstream may fall silent for a while and go on. An attempt is therefore given up for silence only if another
 * upstream takes the request for certain, so that a caller never loses an answer that would have gone on.
 */
final class ReplacementCheck {

    /** Time for which a permit that was granted for a replacement may be used, in milliseconds. */
    private static final long PERMIT_MILLIS = 500;

    private final ServingContext context;
    private final UpstreamChooser chooser;
    private final UpstreamGates gates;
    private final RequestFacts facts;
    private final AttemptCount attempts;
    private final StreamProgress progress;
    private final SuspectTracker suspectTracker;
    private final RequestLog log;
    private final Set<UpstreamId> excluded;
    private UpstreamId permitted;
    private long permittedMillis;
    private boolean requestsPermit;
    private UpstreamChoice held;

    /** Creates a check; the set of excluded upstreams may change later. */
    ReplacementCheck(
            ServingContext context,
            UpstreamChooser chooser,
            UpstreamGates gates,
            RequestFacts facts,
            AttemptCount attempts,
            StreamProgress progress,
            SuspectTracker suspectTracker,
            RequestLog log,
            Set<UpstreamId> excluded) {
        this.context = context;
        this.chooser = chooser;
        this.gates = gates;
        this.facts = facts;
        this.attempts = attempts;
        this.progress = progress;
        this.suspectTracker = suspectTracker;
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

    /** Returns why a silent attempt is not given up now; {@code null} if another upstream takes the request. */
    KeptCause obstacle(Attempt attempt, FailureKind kind) {
        KeptCause cause = retryObstacle(kind);
        if (cause != null) {
            return cause;
        }
        if (!suspectTracker.maySendAgain()) {
            return KeptCause.IN_TRIAL;
        }
        UpstreamChoice choice = chooseOther(attempt);
        if (choice == null) {
            return KeptCause.NO_REPLACEMENT;
        }
        boolean declined = choice.expensive() || choice.refused();
        if (declined && !progress.answerStarted()) {
            return KeptCause.TOO_DEAR;
        }
        return completesBeforeStop(choice) ? null : KeptCause.STOPPING;
    }

    /** Returns whether an attempt at the chosen upstreams would be complete before the end of a stopping router. */
    private boolean completesBeforeStop(UpstreamChoice choice) {
        StopGate stop = context.stop();
        long now = context.nowMillis();
        return !stop.timeline().stopping() || stop.takes(stop.longestMillis(facts, choice, now), now);
    }

    /**
     * Returns why a silent attempt cannot be replaced now; {@code null} if it can. An upstream with a rate limit is a
     * replacement only once its permit is granted, which the next attempt then uses.
     */
    KeptCause acquire(Attempt attempt, FailureKind kind) {
        KeptCause cause = obstacle(attempt, kind);
        if (cause != null) {
            return cause;
        }
        UpstreamChoice choice = chooseOther(attempt);
        if (!acquirePermit(choice.upstream().id())) {
            return KeptCause.NO_PERMIT;
        }
        hold(choice);
        return null;
    }

    /**
     * Places the request at the chosen engines, so that no other one takes the room until the next attempt starts: the
     * attempt that is given up may first be checked for a crash of its engine.
     */
    private void hold(UpstreamChoice choice) {
        release();
        if (choice.placement() != null) {
            held = choice;
            chooser.begin(choice, facts.remainingMillis(context.nowMillis()));
        }
    }

    /** Frees the room that is held for the next attempt, if there is any. */
    void release() {
        if (held != null) {
            chooser.end(held);
            held = null;
        }
    }

    /** Chooses the next upstream, preferably none of the avoided ones; {@code null} if none can respond in time. */
    UpstreamChoice choose(Set<UpstreamId> avoided) {
        if (held != null
                && !avoided.contains(held.upstream().id())
                && !excluded.contains(held.upstream().id())
                && gates.unavailableCause(held) == null) {
            return held;
        }
        release();
        UpstreamChoice choice = null;
        if (!avoided.isEmpty()) {
            choice = chooser.choose(facts, progress.answerStarted(), Sets.union(excluded, avoided));
        }
        return choice == null ? chooser.choose(facts, progress.answerStarted(), excluded) : choice;
    }

    /** Records the start of an attempt at the chosen upstreams. */
    void begin(UpstreamChoice choice, long nowMillis) {
        if (choice == held) {
            held = null;
        } else {
            release();
            chooser.begin(choice, facts.remainingMillis(nowMillis));
        }
    }

    /** Requests a permit for an upstream if it needs one; returns whether a request may be sent there now. */
    private boolean acquirePermit(UpstreamId upstream) {
        if (!gates.limits().isLimited(upstream) || isPermitted(upstream)) {
            return true;
        }
        if (!requestsPermit) {
            requestsPermit = true;
            gates.limits().acquire(upstream, granted -> permitAnswered(upstream, granted));
        }
        return isPermitted(upstream);
    }

    /** Records the answer to a request for a permit. */
    private void permitAnswered(UpstreamId upstream, boolean granted) {
        requestsPermit = false;
        if (granted) {
            permitted = upstream;
            permittedMillis = context.nowMillis();
        }
    }

    /** Returns whether a permit for an upstream was granted recently and is not used. */
    private boolean isPermitted(UpstreamId upstream) {
        return upstream.equals(permitted) && context.nowMillis() - permittedMillis <= PERMIT_MILLIS;
    }

    /** Uses the permit that was granted for a replacement at an upstream; returns whether there is one. */
    boolean usePermit(UpstreamId upstream) {
        boolean usable = isPermitted(upstream);
        if (usable) {
            permitted = null;
        }
        return usable;
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
