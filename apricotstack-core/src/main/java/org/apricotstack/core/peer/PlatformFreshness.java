package org.apricotstack.core.peer;

/**
 * Records up to what time this router knows all that the platform had published.
 *
 * <p>That a watch is open shows nothing: the platform may have stopped answering it. Only a response shows that nothing
 * newer was published before, be it to this router or to a peer that knows no more than this router.
 */
public final class PlatformFreshness {

    private static final long NEVER = Long.MIN_VALUE / 2;

    private long verifiedMillis = NEVER;

    /**
     * Records that everything that was published before a time is known here.
     *
     * @param atMillis the time, in milliseconds
     */
    public void verified(long atMillis) {
        verifiedMillis = Math.max(verifiedMillis, atMillis);
    }

    /**
     * Returns the time up to which everything is known.
     *
     * @return the time, in milliseconds; far in the past before the first response
     */
    public long verifiedMillis() {
        return verifiedMillis;
    }

    /**
     * Tells whether everything was known at some time.
     *
     * @return whether there was a response
     */
    public boolean isKnown() {
        return verifiedMillis != NEVER;
    }

    /**
     * Returns for how long something unknown may have been published.
     *
     * @param nowMillis the current time
     * @return the age, in milliseconds; -1 before the first response
     */
    public long ageMillis(long nowMillis) {
        return isKnown() ? Math.max(0, nowMillis - verifiedMillis) : -1;
    }
}
