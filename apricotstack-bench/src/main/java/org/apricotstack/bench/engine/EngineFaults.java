package org.apricotstack.bench.engine;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The faults that are currently injected into a stand-in. */
public final class EngineFaults {

    /** Kinds of faults. */
    public enum Fault {
        /** Open streams stall without being closed; new connections can be established. */
        SILENT_STREAMS,
        /** The engine computes no steps. */
        PAUSED,
        /** Chunks carry the id of another request. */
        CROSSED,
        /** Streams end before the answer is complete. */
        CUT,
        /** Memory of a stream is not released when its connection is lost, only by an explicit release. */
        LEAKING,
        /** New work is refused because the upstream is draining. */
        LEAVING,
        /** The call is executed, and the connection is closed before the response. */
        DIES_AFTER_RUN
    }

    private final Set<Fault> active = ConcurrentHashMap.newKeySet();

    /**
     * Injects a fault.
     *
     * @param fault the fault
     */
    public void start(Fault fault) {
        active.add(fault);
    }

    /**
     * Removes a fault.
     *
     * @param fault the fault
     */
    public void end(Fault fault) {
        active.remove(fault);
    }

    /**
     * Returns whether a fault is active.
     *
     * @param fault the fault
     * @return whether it is
     */
    public boolean has(Fault fault) {
        return active.contains(fault);
    }

    /**
     * Returns the active faults.
     *
     * @return a copy of the set
     */
    public Set<Fault> active() {
        return active.isEmpty() ? EnumSet.noneOf(Fault.class) : EnumSet.copyOf(active);
    }
}
