package org.apricotstack.core.upstream;

/**
 * Encodes revisions of the platform, across all its histories, as single numbers.
 *
 * <p>A platform that is restored from a backup begins a new history, in which revision numbers start from an earlier
 * value and are reused. Encoded revisions of a later history are greater than all those of earlier histories, so that
 * revisions read by different routers at different times can be compared.
 *
 * <p>Revision numbers have up to 62 bits in the first history, 51 bits in the next 1023 and 40 bits in all others.
 */
public final class Revisions {

    /** Maximum number of a history; larger numbers are invalid. */
    public static final long MAX_HISTORY = (1 << 21) - 1;

    /** Set in all revisions but those of the first history, which are encoded as they are. */
    private static final long LATER_HISTORY = 1L << 62;

    /** Set together with {@link #LATER_HISTORY} in the revisions of histories above {@link #MAX_SHORT_HISTORY}. */
    private static final long LONG_HISTORY = 1L << 61;

    /** Number of bits for the revision in a history up to {@link #MAX_SHORT_HISTORY}. */
    private static final int REVISION_BITS_BESIDE_SHORT_HISTORY = 51;

    private static final long MAX_SHORT_HISTORY = (1 << 10) - 1;

    /** Number of bits for the revision in a history above {@link #MAX_SHORT_HISTORY}. */
    private static final int REVISION_BITS_BESIDE_LONG_HISTORY = 40;

    /** Number of bits for the revision in the form that routers send to each other, unless it has more. */
    private static final int MESSAGE_REVISION_BITS = 40;

    /** Set in the form that routers send to each other if the revision has more bits. */
    private static final long LARGE_IN_MESSAGE = Long.MIN_VALUE;

    private Revisions() {}

    /**
     * Encodes a revision.
     *
     * @param history number of the history, from 0 to {@link #MAX_HISTORY}
     * @param inHistory the platform's revision number within the history, from 0 to {@link #maxInHistory(long)}
     * @return the encoded revision
     */
    public static long of(long history, long inHistory) {
        long revision = inHistory & maxInHistory(history);
        if (history == 0) {
            return revision;
        }
        return history <= MAX_SHORT_HISTORY
                ? LATER_HISTORY | history << REVISION_BITS_BESIDE_SHORT_HISTORY | revision
                : LATER_HISTORY | LONG_HISTORY | history << REVISION_BITS_BESIDE_LONG_HISTORY | revision;
    }

    /**
     * Returns the greatest revision number of a history that can be encoded.
     *
     * @param history number of the history
     * @return the revision number, a power of 2 less 1
     */
    public static long maxInHistory(long history) {
        if (history == 0) {
            return LATER_HISTORY - 1;
        }
        int bits =
                history <= MAX_SHORT_HISTORY ? REVISION_BITS_BESIDE_SHORT_HISTORY : REVISION_BITS_BESIDE_LONG_HISTORY;
        return (1L << bits) - 1;
    }

    /**
     * Returns the history of a revision.
     *
     * @param revision the encoded revision
     * @return the number of the history
     */
    public static long history(long revision) {
        if ((revision & LATER_HISTORY) == 0) {
            return 0;
        }
        long withoutMarks = revision & ~(LATER_HISTORY | LONG_HISTORY);
        return (revision & LONG_HISTORY) == 0
                ? withoutMarks >> REVISION_BITS_BESIDE_SHORT_HISTORY
                : withoutMarks >> REVISION_BITS_BESIDE_LONG_HISTORY;
    }

    /**
     * Returns the platform's revision number within its history.
     *
     * @param revision the encoded revision
     * @return the revision number
     */
    public static long inHistory(long revision) {
        return revision & maxInHistory(history(revision));
    }

    /**
     * Returns the form in which routers send a revision to each other, which is short as long as revisions are small.
     * Revisions in this form cannot be compared.
     *
     * @param revision the encoded revision
     * @return its form in messages
     */
    public static long toMessage(long revision) {
        long inHistory = inHistory(revision);
        return inHistory >> MESSAGE_REVISION_BITS == 0
                ? history(revision) << MESSAGE_REVISION_BITS | inHistory
                : revision | LARGE_IN_MESSAGE;
    }

    /**
     * Returns the revision of a message.
     *
     * @param message its form in messages
     * @return the encoded revision
     */
    public static long fromMessage(long message) {
        if (message < 0) {
            return message & ~LARGE_IN_MESSAGE;
        }
        long inHistory = message & (1L << MESSAGE_REVISION_BITS) - 1;
        return of(message >> MESSAGE_REVISION_BITS & MAX_HISTORY, inHistory);
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
