package org.apricotstack.serving.run;

import org.apricotstack.serving.observe.PassedOverCause;

/**
 * When the first of several upstreams opens that are all closed now by what their answers said.
 *
 * @param millis time until then, in milliseconds; 0 if not all are closed
 * @param cause what closes that upstream until then; {@code null} if not all are closed
 */
record NextAvailability(long millis, PassedOverCause cause) {

    /** Not all upstreams are closed. */
    static final NextAvailability IMMEDIATE = new NextAvailability(0, null);
}
