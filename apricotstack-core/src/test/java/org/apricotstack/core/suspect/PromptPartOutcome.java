package org.apricotstack.core.suspect;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Counts what happened in a {@link PromptPartSimulation}. */
final class PromptPartOutcome {

    private static final int FIFTH = 4;

    private final SharedTrait crashingPart;
    private final List<Long> crashesMillis = new ArrayList<>();
    private final List<Long> inFlightAtCrashes = new ArrayList<>();
    private final List<Long> sendsMillis = new ArrayList<>();
    private final Set<SharedTrait> causes = new LinkedHashSet<>();
    private final List<Long> soundArrivalsMillis = new ArrayList<>();
    private final List<Long> servedArrivalsMillis = new ArrayList<>();
    private int soundSentAtOnce;
    private int soundRefused;

    PromptPartOutcome(SharedTrait crashingPart) {
        this.crashingPart = crashingPart;
    }

    /**
     * Records a crash with the crashing part in flight, and the number of requests with the crashing part that
     * upstreams had just before it.
     */
    void crashed(long nowMillis, long inFlight) {
        crashesMillis.add(nowMillis);
        inFlightAtCrashes.add(inFlight);
    }

    /** Records a send with the crashing part by a router that has been up for some time. */
    void sent(long nowMillis) {
        sendsMillis.add(nowMillis);
    }

    void soundRequest(long arrivedMillis, boolean sentAtOnce) {
        soundArrivalsMillis.add(arrivedMillis);
        soundSentAtOnce += sentAtOnce ? 1 : 0;
    }

    void soundRequestServed(long arrivedMillis) {
        servedArrivalsMillis.add(arrivedMillis);
    }

    void soundRequestRefused() {
        soundRefused++;
    }

    /** Returns the number of other requests that were refused for one of their parts. */
    int soundRefused() {
        return soundRefused;
    }

    void causeFound(SharedTrait trait) {
        causes.add(trait);
    }

    /** Returns the number of upstreams that crashed with the crashing part in flight. */
    long crashCount() {
        return crashesMillis.size();
    }

    /** Returns the number of requests with the crashing part that upstreams had at the fifth crash. */
    long inFlightAtFifthCrash() {
        return crashesMillis.size() <= FIFTH ? 0 : inFlightAtCrashes.get(FIFTH);
    }

    /** Returns the recorded sends later than a time after the fifth crash, in milliseconds. */
    long sentAfterFifthCrash(long millis) {
        return crashesMillis.size() <= FIFTH
                ? 0
                : sendsMillis.stream()
                        .filter(sent -> sent > crashesMillis.get(FIFTH) + millis)
                        .count();
    }

    /** Returns the traits, other than the crashing part, that a router identified as a cause. */
    Set<SharedTrait> otherCauses() {
        Set<SharedTrait> others = new LinkedHashSet<>(causes);
        others.remove(crashingPart);
        return others;
    }

    /** Returns the time of the fifth crash; the start if there are fewer. */
    long fifthCrashMillis() {
        return crashesMillis.size() <= FIFTH ? 0 : crashesMillis.get(FIFTH);
    }

    /** Returns the share of the other requests that arrived since a time and were served. */
    double soundServedShare(long sinceMillis) {
        return (double) countSince(servedArrivalsMillis, sinceMillis) / countSince(soundArrivalsMillis, sinceMillis);
    }

    private static long countSince(List<Long> times, long sinceMillis) {
        return times.stream().filter(millis -> millis >= sinceMillis).count();
    }

    /** Returns the share of the other requests that were sent without a wait. */
    double soundSentAtOnceShare() {
        return (double) soundSentAtOnce / soundArrivalsMillis.size();
    }
}
