package org.apricotstack.core.upstream;

/**
 * Encodes revisions of the platform, across all its histories, as single numbers.
 *
 * <p>A platform that is restored from a backup begins a new history, in which revision numbers start from an earlier
 * value and are reused. Encoded revisions of a later history are greater than all those of earlier histories, so that
 * revisions read by different routers at different times can be compared.
 */
public final class Revisions {

    /** Maximum number of a history; larger numbers are invalid. */
    public static final long MAX_HISTORY = (1 << 22) - 1;

    /** Number of bits for the revision within its history. */
    private static final int REVISION_BITS = 40;

    private static final long REVISION_MASK = (1L << REVISION_BITS) - 1;

    private Revisions() {}

    /**
     * Encodes a revision.
     *
     * @param history number of the history, from 0
     * @param inHistory the platform's revision number within the history, from 0
     * @return the encoded revision
     */
    public static long of(long history, long inHistory) {
        return history << REVISION_BITS | inHistory & REVISION_MASK;
    }

    /**
     * Returns the history of a revision.
     *
     * @param revision the encoded revision
     * @return the number of the history
     */
    public static long history(long revision) {
        return revision >> REVISION_BITS;
    }

    /**
     * Returns the platform's revision number within its history.
     *
     * @param revision the encoded revision
     * @return the revision number
     */
    public static long inHistory(long revision) {
        return revision & REVISION_MASK;
    }

    /**
     * Formats a revision for logs.
     *
     * @param revision the encoded revision
     * @return history and revision number, separated by a colon; only the revision number in the first history
     */
    public static String text(long revision) {
        String number = Long.toString(inHistory(revision));
        return history(revision) == 0 ? number : history(revision) + ":" + number;
    }
}
