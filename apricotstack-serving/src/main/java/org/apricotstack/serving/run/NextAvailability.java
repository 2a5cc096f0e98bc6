package org.apricotstack.serving.run;

import org.apricotstack.serving.observe.PassedOverCause;
import org.apricotstack.serving.observe.RefusalCause;

/**
 * When the first of several upstreams accepts requests again, if limits or back-offs block all of them now.
 *
 * @param millis time until then, in milliseconds; 0 if not all are blocked
 * @param cause what blocks that upstream until then; {@code null} if not all are blocked
 */
record NextAvailability(long millis, PassedOverCause cause) {

    /** At least one upstream is not blocked. */
    static final NextAvailability IMMEDIATE = new NextAvailability(0, null);

    /** Returns whether the upstream accepts a request with a permit, for which requests may wait. */
    boolean needsPermit() {
        return switch (cause) {
            case LIMIT, COLD -> true;
            case DRAINING, BACK_OFF, EVACUATED -> false;
        };
    }

    /** Returns why a request is refused that does not wait. */
    RefusalCause refusal() {
        return switch (cause) {
            case LIMIT -> RefusalCause.UPSTREAM_LIMITS;
            case COLD -> RefusalCause.UPSTREAMS_COLD;
            case DRAINING -> RefusalCause.UPSTREAMS_DRAINING;
            case BACK_OFF -> RefusalCause.UPSTREAMS_BACK_OFF;
            case EVACUATED -> RefusalCause.UPSTREAMS_EVACUATED;
        };
    }
}
