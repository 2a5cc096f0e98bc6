package org.apricotstack.bench.engine;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The faults that a stand-in has now. */
public final class EngineFaults {

    /** Kinds of faults. */
    public enum Fault {
        /** Open streams stop and stay open, while new connections work. */
        SILENT_STREAMS,
        /** Nothing is computed. */
        PAUSED,
        /** Pieces carry the name of another request. */
        CROSSED,
        /** Streams end in the middle. */
        CUT,
        /** Memory is kept when a stream's connection is lost, until it is released by name. */
        LEAKING,
        /** New work is refused because the upstream is leaving. */
        LEAVING,
        /** The work is run, and the connection is closed before the answer. */
        DIES_AFTER_RUN
    }

    private final Set<Fault> active = ConcurrentHashMap.newKeySet();

    /**
     * Starts a fault.
     *
     * @param fault the fault
     */
    public void start(Fault fault) {
        active.add(fault);
    }

    /**
     * Ends a fault.
     *
     * @param fault the fault
     */
    public void end(Fault fault) {
        active.remove(fault);
    }

    /**
     * Tells whether a fault is active.
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
     * @return a copy
     */
    public Set<Fault> active() {
        return active.isEmpty() ? EnumSet.noneOf(Fault.class) : EnumSet.copyOf(active);
    }
}
