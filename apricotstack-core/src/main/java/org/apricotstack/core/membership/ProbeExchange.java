package org.apricotstack.core.membership;

import org.apricotstack.core.membership.PeerProbes.ProbeAnswer;
import org.apricotstack.core.membership.PeerProbes.ProbePayload;

/** Port: makes what a probe carries, and takes what an answer carries. */
public interface ProbeExchange {

    /**
     * Makes the news to send.
     *
     * @return statements and versions
     */
    ProbePayload payload();

    /**
     * Takes the answer to a probe.
     *
     * @param answer the answer
     */
    void receive(ProbeAnswer answer);

    /**
     * Takes the news of a probe that a peer sent.
     *
     * @param payload the news
     */
    void receive(ProbePayload payload);
}
