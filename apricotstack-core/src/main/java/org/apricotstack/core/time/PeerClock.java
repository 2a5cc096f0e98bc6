package org.apricotstack.core.time;

import org.apricotstack.core.id.ProcessId;

/**
 * Estimates the monotonic clock of one peer process, so that a deadline can be sent in the clock of the receiver.
 *
 * <p>A message may stay in a socket buffer for as long as its receiver is paused. If the receiver counted the remaining
 * time from the moment it reads the message, it would act after the sender has given up. This class keeps a lower bound
 * of the peer's clock: a reading that the peer sent is never ahead of the peer's clock when it arrives, and both clocks
 * run at the same rate. A deadline that is sent as <em>lower bound plus remaining time</em> is early by the transit
 * time of the reading, and never late.
 */
public final class PeerClock {

    /** Age after which the bound is renewed, because the two clocks drift slightly. */
    private static final long RENEWAL_NANOS = 60_000_000_000L;

    private ProcessId process;
    private long offsetNanos;
    private long renewedNanos;

    /**
     * Records a reading of the peer's clock.
     *
     * @param from the process that read its clock
     * @param peerNanos the reading
     * @param localNanos the local clock on arrival
     */
    public synchronized void observe(ProcessId from, long peerNanos, long localNanos) {
        long offset = peerNanos - localNanos;
        boolean otherProcess = !from.equals(process);
        boolean expired = localNanos - renewedNanos > RENEWAL_NANOS;
        if (otherProcess || expired || offset > offsetNanos) {
            process = from;
            offsetNanos = offset;
            renewedNanos = localNanos;
        }
    }

    /**
     * Translates a local deadline to the clock of the peer.
     *
     * @param to the process that will receive it
     * @param deadline the deadline in the local clock
     * @return the deadline in the peer's clock, or {@code null} if no reading of that process is known
     */
    public synchronized Deadline translate(ProcessId to, Deadline deadline) {
        if (!to.equals(process)) {
            return null;
        }
        return new Deadline(deadline.atNanos() + offsetNanos);
    }

    /**
     * Tells whether a new reading is due.
     *
     * @param localNanos the local clock
     * @return whether no reading is known, or the last renewal is old
     */
    public synchronized boolean isDue(long localNanos) {
        return process == null || localNanos - renewedNanos > RENEWAL_NANOS / 2;
    }

    /**
     * Returns the process whose clock is estimated.
     *
     * @return the process, or {@code null} before the first reading
     */
    public synchronized ProcessId process() {
        return process;
    }
}
