package org.apricotstack.serving.run;

import org.apricotstack.serving.observe.PassedOverCause;

/**
 * When the first of several upstreams accepts requests again, if limits or back-offs block all of them now.
 *
 * @param millis time until then, in milliseconds; 0 if not all are blocked
 * @param cause what blocks that upstream until then; {@code null} if not all are blocked
 */
record NextAvailability(long millis, PassedOverCause cause) {

    /** At least one upstream is not blocked. */
    static final NextAvailability IMMEDIATE = new NextAvailability(0, null);
}
