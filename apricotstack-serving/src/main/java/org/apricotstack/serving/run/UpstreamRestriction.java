package org.apricotstack.serving.run;

import org.apricotstack.serving.observe.PassedOverCause;

/**
 * Why no request may be sent to an upstream now.
 *
 * @param cause the reason
 * @param remainingMillis time until a request may be sent, in milliseconds; {@link #UNKNOWN_MILLIS} if the reason has
 *     no known end
 */
record UpstreamRestriction(PassedOverCause cause, long remainingMillis) {

    /** Remaining time of a restriction that has no known end. */
    static final long UNKNOWN_MILLIS = Long.MAX_VALUE;

    /** Returns a restriction that has no known end. */
    static UpstreamRestriction untilFurtherNotice(PassedOverCause cause) {
        return new UpstreamRestriction(cause, UNKNOWN_MILLIS);
    }

    /** Returns the restriction of an upstream that accepts requests again after a time; {@code null} if that is 0. */
    static UpstreamRestriction ending(PassedOverCause cause, long remainingMillis) {
        return remainingMillis > 0 ? new UpstreamRestriction(cause, remainingMillis) : null;
    }

    /** Returns the one of two restrictions that ends last; each may be {@code null}, and the first wins a tie. */
    static UpstreamRestriction longest(UpstreamRestriction first, UpstreamRestriction second) {
        if (first == null || second == null) {
            return first == null ? second : first;
        }
        return second.remainingMillis > first.remainingMillis ? second : first;
    }
}
