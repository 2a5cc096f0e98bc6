package org.apricotstack.core.suspect;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/** What is known of one request under which upstreams ended. */
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

    /** Creates a suspect under which nothing has ended yet. */
    Suspect(RequestDigest request, long sinceMillis) {
        this.request = request;
        this.sinceMillis = sinceMillis;
        this.lastCrashMillis = sinceMillis;
    }

    /** Returns what tells the request apart. */
    RequestDigest request() {
        return request;
    }

    /** Returns the ends of upstreams under it, in the order in which they were heard of. */
    Map<UpstreamId, Crash> crashes() {
        return crashes;
    }

    /** Notes the end of an upstream under it; tells whether it was not known. */
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

    /** Returns when the first upstream ended under it. */
    long sinceMillis() {
        return sinceMillis;
    }

    /** Returns when the last upstream ended under it. */
    long lastCrashMillis() {
        return lastCrashMillis;
    }

    /** Returns when the last end was heard of. */
    long learnedMillis() {
        return learnedMillis;
    }

    /** Tells whether it was found to be the cause of its upstreams' ends. */
    boolean isCause() {
        return cause;
    }

    /** Notes that it is the cause. */
    void markCause() {
        cause = true;
    }

    /** Notes a send by a router. */
    void trialStarted(ProcessId router, Trial trial) {
        trials.put(router, trial);
    }

    /** Notes that the send of a router is over, for whatever reason; others may follow. */
    void trialEnded(ProcessId router, long nowMillis) {
        if (trials.remove(router) != null) {
            recordTrialEnd(router, nowMillis);
        }
    }

    /** Notes that a router had it at an upstream until now. */
    void recordTrialEnd(ProcessId router, long nowMillis) {
        lastTrialRouter = router;
        lastTrialEndMillis = nowMillis;
    }

    /** Returns the sends that may still end their upstreams. */
    Map<ProcessId, Trial> trials(long nowMillis) {
        trials.values().removeIf(trial -> trial.endMillis() < nowMillis);
        return trials;
    }

    /** Returns when the last send was over. */
    long lastTrialEndMillis() {
        return lastTrialEndMillis;
    }

    /** Returns the router whose send was over last, or {@code null}. */
    ProcessId lastTrialRouter() {
        return lastTrialRouter;
    }
}
