package org.apricotstack.core.limits;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes that a process holds for requests, so that a refusal comes before memory runs out. */
public final class ByteBudget {

    private final long capacityBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    /**
     * Creates a budget.
     *
     * @param capacityBytes bytes that may be held at once
     */
    public ByteBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /**
     * Reserves bytes.
     *
     * @param bytes how many
     * @return whether they fit
     */
    public boolean tryReserve(long bytes) {
        long held = heldBytes.addAndGet(bytes);
        if (held <= capacityBytes) {
            return true;
        }
        heldBytes.addAndGet(-bytes);
        return false;
    }

    /**
     * Gives bytes back.
     *
     * @param bytes as many as were reserved
     */
    public void release(long bytes) {
        heldBytes.addAndGet(-bytes);
    }

    /**
     * Returns what is held.
     *
     * @return bytes
     */
    public long heldBytes() {
        return heldBytes.get();
    }
}
