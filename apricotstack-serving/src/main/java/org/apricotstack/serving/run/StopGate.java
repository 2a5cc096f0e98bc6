package org.apricotstack.serving.run;

import java.util.function.Supplier;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.stop.OtherRouters;
import org.apricotstack.core.stop.RequestDuration;
import org.apricotstack.core.stop.StopPolicy;
import org.apricotstack.core.stop.StopTimeline;
import org.apricotstack.core.time.StallDetector;
import org.apricotstack.core.upstream.SoundSilence;

/** Rejects requests that a stopping router could not complete before its process ends, and counts them. */
public final class StopGate {

    private final StopPolicy policy;
    private final Supplier<OtherRouters> others;
    private final CompletionTimes times;
    private long arrived;
    private long rejected;

    /**
     * Creates a gate.
     *
     * @param policy the policy of this router's stop
     * @param others the other routers
     * @param loadTable placements and load of the engines
     * @param stalls the stalls of this process
     */
    public StopGate(StopPolicy policy, Supplier<OtherRouters> others, EngineLoadTable loadTable, StallDetector stalls) {
        this.policy = policy;
        this.others = others;
        this.times = new CompletionTimes(loadTable, stalls);
    }

    /**
     * Returns the policy of this router's stop.
     *
     * @return the policy
     */
    public StopPolicy policy() {
        return policy;
    }

    /** Returns the timeline of this router's stop. */
    StopTimeline timeline() {
        return policy.timeline();
    }

    /** Records a completed request, for the estimates. */
    void completed(RequestFacts facts, double predictedMillis, long startMillis, long nowMillis) {
        times.completed(facts, predictedMillis, startMillis, nowMillis);
    }

    /**
     * Returns how long a request takes; the choice is {@code null} while there is none.
     */
    RequestDuration duration(RequestFacts facts, UpstreamChoice choice, long nowMillis) {
        long longestMillis =
                choice == null ? times.leastMillis(facts, nowMillis) : restMillis(facts, 0, choice, 0, nowMillis);
        return facts.duration(longestMillis, nowMillis);
    }

    /** Returns the time that has to be left for a request, in milliseconds. */
    long neededMillis(RequestFacts facts, RequestDuration duration) {
        return policy.neededMillis(duration, others.get(), facts.arrivedMillis());
    }

    /** Returns whether the end of the process would not cut a request. */
    boolean takes(RequestFacts facts, RequestDuration duration, long nowMillis) {
        return takes(neededMillis(facts, duration), nowMillis);
    }

    /**
     * Returns the silence of its next upstream that a request has to allow for when it is moved there, in milliseconds;
     * 0 for none.
     */
    long silenceMillis(RequestFacts facts) {
        return policy.isLate(others.get(), facts.arrivedMillis()) ? SoundSilence.LONGEST_MILLIS : 0;
    }

    /**
     * Estimates the longest time of the rest of a stream, of which some tokens were forwarded, with a silence, in
     * milliseconds. While no other router is ready, neither the slowest answers nor the silence count: a rejected
     * caller would have nowhere to go.
     */
    long restMillis(
            RequestFacts facts, long forwardedTokens, UpstreamChoice choice, long silenceMillis, long nowMillis) {
        return others.get().ready()
                ? times.longestMillis(facts, forwardedTokens, choice, silenceMillis, nowMillis)
                : times.usualMillis(facts, forwardedTokens, choice, nowMillis);
    }

    /** Returns whether a request of the given longest time is completed before the process ends. */
    boolean takes(long longestMillis, long nowMillis) {
        return policy.takes(longestMillis, nowMillis);
    }

    /** Returns the retry-after for the caller of a rejected request, in milliseconds. */
    long retryAfterMillis(RequestDuration duration, long nowMillis) {
        return policy.retryAfterMillis(others.get(), duration, nowMillis);
    }

    /** Returns the other routers. */
    OtherRouters others() {
        return others.get();
    }

    /** Counts a request that arrived while this router was stopping. */
    void countArrived() {
        arrived++;
    }

    /** Counts a request that was rejected because this router is stopping. */
    void countRejected() {
        rejected++;
    }

    /**
     * Returns the number of requests that arrived while this router was stopping.
     *
     * @return number of requests, rejected ones included
     */
    public long arrived() {
        return arrived;
    }

    /**
     * Returns the number of requests that were rejected because this router is stopping.
     *
     * @return number of requests
     */
    public long rejected() {
        return rejected;
    }
}
