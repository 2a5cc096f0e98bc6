package org.apricotstack.core.suspect;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/** The recorded crashes and trials of one request or shared trait that was in flight when upstreams crashed. */
final class Suspect {

    private final RequestTrait trait;
    private final Map<UpstreamId, Crash> crashes = new LinkedHashMap<>();
    private final Map<ProcessId, Trial> trials = new HashMap<>();
    private final Set<UpstreamId> triedUpstreams = new HashSet<>();
    private final Set<RequestTrait> companions = new HashSet<>();
    private final long sinceMillis;
    private final boolean servedBefore;
    private long lastCrashMillis;
    private long learnedMillis;
    private boolean cause;
    private ProcessId lastTrialRouter;
    private long lastTrialEndMillis = Long.MIN_VALUE / 2;

    /** Creates a suspect without crashes. */
    Suspect(RequestTrait trait, long sinceMillis, boolean servedBefore) {
        this.trait = trait;
        this.servedBefore = servedBefore;
        this.sinceMillis = sinceMillis;
        this.lastCrashMillis = sinceMillis;
    }

    /** Returns the trait. */
    RequestTrait trait() {
        return trait;
    }

    /** Returns whether a request with the shared trait was served shortly before the first crash. */
    boolean servedBefore() {
        return servedBefore;
    }

    /** Returns the crashes of upstreams at which it was in flight, in the order in which they were learned. */
    Map<UpstreamId, Crash> crashes() {
        return crashes;
    }

    /** Records a crash of an upstream at which it was in flight; returns whether the crash was new. */
    boolean recordCrash(UpstreamId upstream, Crash crash) {
        Crash known = crashes.get(upstream);
        boolean answerStarted = crash.answerStarted() || known != null && known.answerStarted();
        if (known != null) {
            crashes.put(upstream, new Crash(answerStarted, known.atMillis(), known.learnedMillis()));
            return false;
        }
        crashes.put(upstream, crash);
        lastCrashMillis = Math.max(lastCrashMillis, crash.atMillis());
        learnedMillis = Math.max(learnedMillis, crash.learnedMillis());
        return true;
    }

    /** Returns the time of the first crash. */
    long sinceMillis() {
        return sinceMillis;
    }

    /** Returns the time of the last crash. */
    long lastCrashMillis() {
        return lastCrashMillis;
    }

    /** Returns when the latest crash was learned. */
    long learnedMillis() {
        return learnedMillis;
    }

    /** Tells whether it was identified as the cause of the crashes. */
    boolean isCause() {
        return cause;
    }

    /** Marks it as the cause. */
    void markCause() {
        cause = true;
    }

    /** Clears it after another cause of its crashes was found. */
    void clearCause() {
        cause = false;
    }

    /** Returns the traits with the same crashes, of which any or only all together may be the cause. */
    Set<RequestTrait> companions() {
        return companions;
    }

    /** Records the start of a router's trial. */
    void trialStarted(ProcessId router, Trial trial) {
        trials.put(router, trial);
        triedUpstreams.add(trial.upstream());
    }

    /** Returns whether a trial was started at an upstream. */
    boolean wasTriedAt(UpstreamId upstream) {
        return triedUpstreams.contains(upstream);
    }

    /** Records the end of a router's trial with any outcome, after which the next trial may start. */
    void trialEnded(ProcessId router, long nowMillis) {
        if (trials.remove(router) != null) {
            recordTrialEnd(router, nowMillis);
        }
    }

    /** Records that a router had it in flight at an upstream until now. */
    void recordTrialEnd(ProcessId router, long nowMillis) {
        lastTrialRouter = router;
        lastTrialEndMillis = nowMillis;
    }

    /** Returns the trials that have not timed out. */
    Map<ProcessId, Trial> trials(long nowMillis) {
        trials.values().removeIf(trial -> trial.endMillis() < nowMillis);
        return trials;
    }

    /** Returns the end of the last trial. */
    long lastTrialEndMillis() {
        return lastTrialEndMillis;
    }

    /** Returns the router whose trial ended last, or {@code null}. */
    ProcessId lastTrialRouter() {
        return lastTrialRouter;
    }

    /** Returns a snapshot. */
    SuspectedTrait describe(long nowMillis) {
        List<SuspectedTrait.ReportedCrash> reported = new ArrayList<>();
        crashes.forEach((upstream, crash) -> reported.add(new SuspectedTrait.ReportedCrash(
                upstream, crash.answerStarted(), Math.max(0, nowMillis - crash.atMillis()))));
        return new SuspectedTrait(trait, reported, sinceMillis, servedBefore, cause);
    }
}
