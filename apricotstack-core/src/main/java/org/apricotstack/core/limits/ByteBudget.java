package org.apricotstack.core.limits;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the memory that a process uses for requests, so that requests are refused before memory runs out. */
public final class ByteBudget {

    private final long capacityBytes;
    private final AtomicLong heldBytes = new AtomicLong();

    /**
     * Creates a budget.
     *
     * @param capacityBytes maximum number of reserved bytes
     */
    public ByteBudget(long capacityBytes) {
        this.capacityBytes = capacityBytes;
    }

    /**
     * Reserves bytes.
     *
     * @param bytes number of bytes
     * @return whether they were reserved
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
     * Releases bytes.
     *
     * @param bytes number of bytes that were reserved
     */
    public void release(long bytes) {
        heldBytes.addAndGet(-bytes);
    }

    /**
     * Returns the reserved bytes.
     *
     * @return number of bytes
     */
    public long heldBytes() {
        return heldBytes.get();
    }
}
