package org.apricotstack.serving.gossip;

/** Tells the other routers whether this one serves callers. */
@FunctionalInterface
public interface Readiness {

    /**
     * Returns whether this router can serve callers and is not stopping.
     *
     * @return whether callers may be directed to it
     */
    boolean ready();

    /**
     * Returns how long a stopping router still takes requests.
     *
     * @return time until its process ends in any case, in milliseconds; 0 if it is not stopping or has ended
     */
    default long stopLeftMillis() {
        return 0;
    }
}
