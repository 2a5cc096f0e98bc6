package org.apricotstack.core.dispatch;

/** Chooses the upstream with the fewest running streams; used for plain services, and as a baseline. */
public final class LeastInFlightUpstreamChooser implements UpstreamChooser {

    @Override
    public double rate(UpstreamSlot slot, QueuedAttempt item) {
        return slot.streams();
    }
}
