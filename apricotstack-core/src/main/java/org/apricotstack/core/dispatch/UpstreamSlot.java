package org.apricotstack.core.dispatch;

import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;

import org.apricotstack.core.configuration.LengthClass;
import org.apricotstack.core.configuration.Upstream;
import org.apricotstack.core.id.AttemptId;

/** The owner's state of one upstream: its published data, and the work that the owner assigned to it. */
public final class UpstreamSlot {

    private final TimePredictor predictor = new TimePredictor();
    private final PrefixIndex prefixes = new PrefixIndex();
    private final UpstreamHealth health = new UpstreamHealth();
    private final Map<AttemptId, Share> shares = new HashMap<>();
    private final Map<LengthClass, Long> outstanding = new EnumMap<>(LengthClass.class);
    private Upstream upstream;
    private long heldTokens;
    private long heldNonShortTokens;
    private boolean leaving;

    /**
     * Creates a slot without work.
     *
     * @param upstream the published data
     */
    UpstreamSlot(Upstream upstream) {
        this.upstream = upstream;
    }

    /** Replaces the published data. */
    void update(Upstream newUpstream) {
        upstream = newUpstream;
    }

    /**
     * Assigns a share of an attempt to the upstream.
     *
     * @param attempt the attempt
     * @param lengthClass the length class of its prompt
     * @param tokens memory that it uses here, in tokens
     * @param prefillTokens prompt tokens to compute here
     */
    void start(AttemptId attempt, LengthClass lengthClass, long tokens, long prefillTokens) {
        shares.put(attempt, new Share(lengthClass, tokens, prefillTokens));
        heldTokens += tokens;
        heldNonShortTokens += lengthClass == LengthClass.SHORT ? 0 : tokens;
        outstanding.merge(lengthClass, prefillTokens, Long::sum);
    }

    /** Records that the prefill of an attempt has ended. */
    void prefillEnded(AttemptId attempt) {
        Share share = shares.get(attempt);
        if (share != null && share.prefillTokens > 0) {
            outstanding.merge(share.lengthClass, -share.prefillTokens, Long::sum);
            shares.put(attempt, new Share(share.lengthClass, share.tokens, 0));
        }
    }

    /** Releases the share of an attempt that has ended. */
    void end(AttemptId attempt) {
        prefillEnded(attempt);
        Share share = shares.remove(attempt);
        if (share != null) {
            heldTokens -= share.tokens;
            heldNonShortTokens -= share.lengthClass == LengthClass.SHORT ? 0 : share.tokens;
        }
    }

    /**
     * Returns the prefill tokens that run before a new prompt of a class, as engines prioritize shorter classes.
     *
     * @param lengthClass the class
     * @return tokens of this class and shorter ones
     */
    long outstandingBefore(LengthClass lengthClass) {
        long sum = 0;
        for (Map.Entry<LengthClass, Long> entry : outstanding.entrySet()) {
            if (entry.getKey().compareTo(lengthClass) <= 0) {
                sum += entry.getValue();
            }
        }
        return sum;
    }

    /** Tells whether the upstream is prefilling a long prompt. */
    boolean isPrefillingLong() {
        return outstanding.getOrDefault(LengthClass.LONG, 0L) > 0;
    }

    /**
     * Returns the free memory that a prompt of a class may use.
     *
     * @param lengthClass the class
     * @param shortShare share of the memory that only short prompts may use
     * @return free memory in tokens
     */
    long freeTokens(LengthClass lengthClass, double shortShare) {
        long free = upstream.memoryTokens() - heldTokens;
        if (lengthClass == LengthClass.SHORT) {
            return free;
        }
        return Math.min(free, nonShortCapacity(shortShare) - heldNonShortTokens);
    }

    /** Returns the memory that prompts of the longer classes may use on an empty engine. */
    long nonShortCapacity(double shortShare) {
        return (long) (upstream.memoryTokens() * (1 - shortShare));
    }

    /** Tells whether the upstream may get another stream now. */
    boolean acceptsWork(long nowMillis) {
        return !leaving && shares.size() < upstream.maxStreams() && health.acceptsWork(nowMillis, shares.size());
    }

    /** Marks the upstream as leaving, or clears the mark. */
    void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    /** Tells whether the upstream is leaving. */
    boolean isLeaving() {
        return leaving;
    }

    /** Returns the published data. */
    Upstream upstream() {
        return upstream;
    }

    /** Returns the predictor. */
    TimePredictor predictor() {
        return predictor;
    }

    /** Returns the index of the prefixes that it probably has cached. */
    PrefixIndex prefixes() {
        return prefixes;
    }

    /** Returns its health record. */
    UpstreamHealth health() {
        return health;
    }

    /** Returns the number of its streams. */
    int streams() {
        return shares.size();
    }

    /** Returns the attempts that it runs. */
    Collection<AttemptId> attempts() {
        return shares.keySet();
    }

    /** Returns the memory that the owner's work uses here, in tokens. */
    long heldTokens() {
        return heldTokens;
    }

    /**
     * The share of an attempt that one upstream runs.
     *
     * @param lengthClass the length class of its prompt
     * @param tokens memory in tokens
     * @param prefillTokens prompt tokens still to compute
     */
    private record Share(LengthClass lengthClass, long tokens, long prefillTokens) {}
}
