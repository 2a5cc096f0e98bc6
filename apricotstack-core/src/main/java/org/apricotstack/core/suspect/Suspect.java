package org.apricotstack.core.suspect;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;

/** What is known of one request under which upstreams ended. */
final class Suspect {

    private final RequestDigest request;
    private final Map<UpstreamId, Ending> crashes = new LinkedHashMap<>();
    private final Map<ProcessId, Trial> trials = new HashMap<>();
    private final long sinceMillis;
    private long lastMillis;
    private long heardMillis;
    private boolean cause;
    private ProcessId lastTriedBy;
    private long freeMillis = Long.MIN_VALUE / 2;

    /** Creates a suspect under which nothing has ended yet. */
    Suspect(RequestDigest request, long sinceMillis) {
        this.request = request;
        this.sinceMillis = sinceMillis;
        this.lastMillis = sinceMillis;
    }

    /** Returns what tells the request apart. */
    RequestDigest request() {
        return request;
    }

    /** Returns the ends of upstreams under it, in the order in which they were heard of. */
    Map<UpstreamId, Ending> crashes() {
        return crashes;
    }

    /** Notes the end of an upstream under it; tells whether it was not known. */
    boolean ended(UpstreamId upstream, Ending ending) {
        Ending before = crashes.get(upstream);
        boolean begun = ending.begun() || before != null && before.begun();
        if (before != null) {
            crashes.put(upstream, new Ending(begun, before.atMillis(), before.heardMillis()));
            return false;
        }
        crashes.put(upstream, ending);
        lastMillis = Math.max(lastMillis, ending.atMillis());
        heardMillis = Math.max(heardMillis, ending.heardMillis());
        return true;
    }

    /** Returns when the first upstream ended under it. */
    long sinceMillis() {
        return sinceMillis;
    }

    /** Returns when the last upstream ended under it. */
    long lastMillis() {
        return lastMillis;
    }

    /** Returns when the last end was heard of. */
    long heardMillis() {
        return heardMillis;
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
            tried(router, nowMillis);
        }
    }

    /** Notes that a router had it at an upstream until now. */
    void tried(ProcessId router, long nowMillis) {
        lastTriedBy = router;
        freeMillis = nowMillis;
    }

    /** Returns the sends that may still end their upstreams. */
    Map<ProcessId, Trial> trials(long nowMillis) {
        trials.values().removeIf(trial -> trial.endMillis() < nowMillis);
        return trials;
    }

    /** Returns when the last send was over. */
    long freeMillis() {
        return freeMillis;
    }

    /** Returns the router whose send was over last, or {@code null}. */
    ProcessId lastTriedBy() {
        return lastTriedBy;
    }
}
