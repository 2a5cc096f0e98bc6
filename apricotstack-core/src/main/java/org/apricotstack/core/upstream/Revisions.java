package org.apricotstack.core.upstream;

/**
 * Revisions of the platform over all its histories, each as one number.
 *
 * <p>When the platform comes back from an older copy it begins another history, in which revisions go back and are
 * given out again. A revision of a later history is greater than each one of an earlier history, so that revisions can
 * be compared whenever they were read, and by whom.
 */
public final class Revisions {

    /** Histories above this number are none that a platform has seen. */
    public static final long MAX_HISTORY = (1 << 22) - 1;

    /** Bits of a revision within its history. */
    private static final int REVISION_BITS = 40;

    private static final long REVISION_MASK = (1L << REVISION_BITS) - 1;

    private Revisions() {}

    /**
     * Puts a revision together.
     *
     * @param history number of the history, from 0
     * @param inHistory the platform's own number within it, from 0
     * @return the revision
     */
    public static long of(long history, long inHistory) {
        return history << REVISION_BITS | inHistory & REVISION_MASK;
    }

    /**
     * Returns the history that a revision belongs to.
     *
     * @param revision the revision
     * @return number of the history
     */
    public static long history(long revision) {
        return revision >> REVISION_BITS;
    }

    /**
     * Returns the platform's own number of a revision.
     *
     * @param revision the revision
     * @return its number within its history
     */
    public static long inHistory(long revision) {
        return revision & REVISION_MASK;
    }

    /**
     * Writes a revision for logs.
     *
     * @param revision the revision
     * @return history and number, separated by a colon; the number alone in the first history
     */
    public static String text(long revision) {
        String number = Long.toString(inHistory(revision));
        return history(revision) == 0 ? number : history(revision) + ":" + number;
    }
}
