package org.apricotstack.core.suspect;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/** The recorded crashes and trials of one request that was in flight when upstreams crashed. */
final class Suspect {

    private final RequestDigest request;
    private final Map<UpstreamId, Crash> crashes = new LinkedHashMap<>();
    private final Map<ProcessId, Trial> trials = new HashMap<>();
    private final long sinceMillis;
    private long lastCrashMillis;
    private long learnedMillis;
    private boolean cause;
    private ProcessId lastTrialRouter;
    private long lastTrialEndMillis = Long.MIN_VALUE / 2;

    /** Creates a suspect without crashes. */
    Suspect(RequestDigest request, long sinceMillis) {
        this.request = request;
        this.sinceMillis = sinceMillis;
        this.lastCrashMillis = sinceMillis;
    }

    /** Returns the digest of the request. */
    RequestDigest request() {
        return request;
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

    /** Records the start of a router's trial. */
    void trialStarted(ProcessId router, Trial trial) {
        trials.put(router, trial);
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
}
