package org.apricotstack.core.dispatch;

/** Chooses among the upstreams that have free capacity for an attempt. */
public interface UpstreamChooser {

    /**
     * Rates an upstream; the lowest rating is chosen.
     *
     * @param slot the upstream
     * @param item the attempt
     * @return the rating
     */
    double rate(UpstreamSlot slot, QueuedAttempt item);
}
