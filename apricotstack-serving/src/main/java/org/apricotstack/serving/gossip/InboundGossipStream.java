package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.ProcessId;

/** A gossip stream from another router. */
public final class InboundGossipStream {

    private ProcessId sender;

    /**
     * Returns the sender.
     *
     * @return the router process, or {@code null} before its first heartbeat
     */
    public ProcessId sender() {
        return sender;
    }

    /**
     * Records the sender.
     *
     * @param process the router process
     */
    public void sender(ProcessId process) {
        sender = process;
    }
}
