package org.apricotstack.core.dispatch;

/**
 * Chooses the upstream with the lowest predicted time to first token, given the prefixes that it probably has cached.
 */
public final class LeastFirstTokenUpstreamChooser implements UpstreamChooser {

    /** Time that each running stream adds, in milliseconds, as it slows the steps of the engine. */
    private static final double STREAM_MILLIS = 0.2;

    @Override
    public double rate(UpstreamSlot slot, QueuedAttempt item) {
        long prompt = item.command().work().promptTokens();
        long held = slot.prefixes().heldTokens(item.command().work().prefixFingerprints());
        long toCompute = slot.outstandingBefore(item.lengthClass()) + Math.max(0, prompt - held);
        return slot.predictor().prefillMillis(toCompute) + STREAM_MILLIS * slot.streams();
    }
}
