package org.apricotstack.core.upstream;

/** How long a sound upstream may send nothing and then go on. */
public final class SoundSilence {

    /**
     * Longest silence of a sound upstream, in milliseconds, beyond its usual pause between two parts of an answer; the
     * shortest patience of callers.
     */
    public static final long LONGEST_MILLIS = 2_000;

    private SoundSilence() {}
}
