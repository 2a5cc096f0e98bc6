package org.apricotstack.core.fleet;

/** A process that is connected by a {@link FaultyNetwork}. */
public interface NetworkNode {

    /** Returns the name of its host. */
    String name();

    /** Returns its scheduler. */
    NodeScheduler timer();
}
