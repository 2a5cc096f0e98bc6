package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.ProcessId;

/** A stream of news that another router sends here. */
public final class InboundGossipStream {

    private ProcessId sender;

    /**
     * Returns who sends.
     *
     * @return the router process, or {@code null} before its first heartbeat
     */
    public ProcessId sender() {
        return sender;
    }

    /**
     * Notes who sends.
     *
     * @param process the router process
     */
    public void sender(ProcessId process) {
        sender = process;
    }
}
