package org.apricotstack.core.membership;

import org.apricotstack.core.membership.PeerProbes.ProbeAnswer;
import org.apricotstack.core.membership.PeerProbes.ProbePayload;

/** Port: creates the payload of probes and processes received payloads. */
public interface ProbeExchange {

    /**
     * Creates the payload to send.
     *
     * @return records and versions
     */
    ProbePayload payload();

    /**
     * Processes the answer to a probe.
     *
     * @param answer the answer
     */
    void receive(ProbeAnswer answer);

    /**
     * Processes the payload of a probe from a peer.
     *
     * @param payload the payload
     */
    void receive(ProbePayload payload);
}
