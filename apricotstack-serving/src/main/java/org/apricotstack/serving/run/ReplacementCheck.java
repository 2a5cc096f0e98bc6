package org.apricotstack.serving.run;

import java.util.HashSet;
import java.util.Set;

import com.google.common.collect.Sets;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.upstream.FailureKind;
import org.apricotstack.core.upstream.SoundSilence;
import org.apricotstack.serving.observe.KeptCause;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * Chooses the upstreams of a request's next attempt, and decides whether the attempt in flight may be given up for it.
 *
 * <p>An upstream may fall silent for a while and go on. An attempt is therefore given up for silence only if another
 * upstream takes the request for certain, so that a caller never loses an answer that would have gone on.
 */
final class ReplacementCheck {

    /**
     * Time for which a permit that was granted for a replacement may be used, in milliseconds; longer than the interval
     * of rechecks, and shorter than any permit is valid.
     */
    private static final long PERMIT_MILLIS = 150;

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
    private UpstreamChoice awaitsPermit;
    private boolean retryTaken;
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
            return hasRetry() ? null : KeptCause.RETRY_BUDGET;
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
        UpstreamChoice choice = replacement(attempt, kind);
        if (choice == null) {
            return KeptCause.NO_REPLACEMENT;
        }
        if (isDeclined(choice)) {
            return KeptCause.TOO_DEAR;
        }
        boolean foundDead = kind == FailureKind.SILENT && attempt.choice().placement() != null;
        return completesBeforeStop(choice, foundDead) || outlastsSoundSilence() ? null : KeptCause.STOPPING;
    }

    /** Returns whether the request would not be sent to the chosen upstreams now, as they are too expensive. */
    private boolean isDeclined(UpstreamChoice choice) {
        boolean waits = choice.expensive() && facts.mayWait(choice.predictedMillis(), context.nowMillis());
        return !progress.answerStarted() && (choice.refused() || waits);
    }

    /** Returns whether a begun stream has been silent for longer than that of a sound upstream ever is. */
    private boolean outlastsSoundSilence() {
        long longestMillis = facts.route().tokenGapTargetMillis() + SoundSilence.LONGEST_MILLIS;
        return progress.answerStarted() && context.nowMillis() - progress.lastMillis() > longestMillis;
    }

    /**
     * Returns whether an attempt at the chosen upstreams would be complete before the end of a stopping router. Unless
     * the engine was found dead, a request without an answer has to be one that would still be taken, and a begun
     * stream needs time for a silence of the next engine.
     */
    private boolean completesBeforeStop(UpstreamChoice choice, boolean foundDead) {
        StopGate stop = context.stop();
        long now = context.nowMillis();
        if (!stop.timeline().stopping()) {
            return true;
        }
        if (!foundDead && !progress.answerStarted()) {
            return stop.takes(facts, stop.duration(facts, choice, now), now);
        }
        long silenceMillis = foundDead ? 0 : stop.silenceMillis(facts);
        return stop.takes(stop.restMillis(facts, forwardedTokens(), choice, silenceMillis, now), now);
    }

    /** Returns the length of the part of an engine's answer that the caller has, in tokens. */
    private long forwardedTokens() {
        return facts.runsOnEngines()
                ? progress.events() * facts.profile().engine().orElseThrow().decodeStepsPerBatchStep()
                : 0;
    }

    /**
     * Returns why a silent attempt cannot be replaced now; {@code null} if it can. An upstream with a rate limit is a
     * replacement only once its permit is granted, which the next attempt then uses, like the retry that is taken from
     * the budget here.
     */
    KeptCause acquire(Attempt attempt, FailureKind kind) {
        KeptCause cause = obstacle(attempt, kind);
        if (cause != null) {
            return cause;
        }
        UpstreamChoice choice = replacement(attempt, kind);
        if (!acquirePermit(choice)) {
            return KeptCause.NO_PERMIT;
        }
        hold(choice);
        retryTaken = retryTaken || context.budgets().of(facts.service()).trySpend(context.nowMillis());
        if (!retryTaken) {
            freeRoom();
            return KeptCause.RETRY_BUDGET;
        }
        return null;
    }

    /**
     * Records the start of an attempt at the chosen upstreams in advance, so that no other request takes the room until
     * the next attempt starts: the attempt that is given up may first be checked for a crash of its engine.
     */
    private void hold(UpstreamChoice choice) {
        if (choice != held) {
            release();
            held = choice;
            chooser.begin(choice, facts.remainingMillis(context.nowMillis()));
        }
    }

    /** Frees the room that is held for the next attempt, if there is any. */
    private void freeRoom() {
        if (held != null) {
            chooser.end(held);
            held = null;
        }
    }

    /** Frees the room and the retry that are held for the next attempt, if there are any. */
    void release() {
        freeRoom();
        if (takeHeldRetry()) {
            context.budgets().of(facts.service()).refund(context.nowMillis());
        }
    }

    /** Returns whether a retry was taken from the budget for the next attempt, or may be taken now. */
    boolean hasRetry() {
        return retryTaken || context.budgets().of(facts.service()).left(context.nowMillis()) >= 1;
    }

    /** Uses the retry that was taken for the next attempt; returns whether there is one. */
    boolean takeHeldRetry() {
        boolean taken = retryTaken;
        retryTaken = false;
        return taken;
    }

    /** Chooses the next upstream, preferably none of the avoided ones; {@code null} if none can respond in time. */
    UpstreamChoice choose(Set<UpstreamId> avoided) {
        if (held != null
                && !avoided.contains(held.upstream().id())
                && !excluded.contains(held.upstream().id())
                && gates.unavailableCause(held) == null) {
            return held;
        }
        freeRoom();
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
            freeRoom();
            chooser.begin(choice, facts.remainingMillis(nowMillis));
        }
    }

    /** Requests a permit for an upstream if it needs one; returns whether a request may be sent there now. */
    private boolean acquirePermit(UpstreamChoice choice) {
        UpstreamId upstream = choice.upstream().id();
        if (!gates.limits().isLimited(upstream) || isPermitted(upstream)) {
            return true;
        }
        if (!requestsPermit) {
            requestsPermit = true;
            awaitsPermit = choice;
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

    /** Returns the upstreams that take the request of an attempt; {@code null} if none can now. */
    private UpstreamChoice replacement(Attempt attempt, FailureKind kind) {
        boolean usable = awaitsPermit != null
                && isPermitted(awaitsPermit.upstream().id())
                && gates.unavailableCause(awaitsPermit) == null;
        return usable ? awaitsPermit : chooseOther(attempt, kind);
    }

    /**
     * Chooses an upstream for the request of an attempt, another one if the failure concerns that of the attempt;
     * {@code null} if none can take it now.
     */
    private UpstreamChoice chooseOther(Attempt attempt, FailureKind kind) {
        Set<UpstreamId> others = new HashSet<>(excluded);
        if (kind.concernsUpstream()) {
            others.add(attempt.upstream().id());
        }
        return chooser.choose(facts, progress.answerStarted(), others);
    }

    /** Returns whether a stream that waits for a busy engine would get its next event sooner at another one. */
    boolean wouldBeFasterElsewhere(Attempt attempt) {
        return chooser.fasterElsewhere(facts, attempt.choice(), progress.answerStarted(), excluded);
    }

    /** Returns the expected time from sending the request to its response or first event, in milliseconds. */
    long expectedMillis(UpstreamChoice choice) {
        return choice.placement() == null
                ? chooser.expectedMillis(facts, choice)
                : (long) Math.ceil(choice.predictedMillis());
    }

    /** Records that an attempt is not given up although its upstream is silent. */
    void keptDespiteSilence(Attempt attempt, KeptCause cause) {
        log.keptDespiteSilence(attempt, cause, context.nowMillis());
    }

    /** Records a failure of the upstream of an attempt that is kept, so that new requests avoid it. */
    void upstreamFailed(Attempt attempt, FailureKind failure) {
        chooser.failed(attempt.choice(), attempt.upstream().id(), failure);
    }
}
