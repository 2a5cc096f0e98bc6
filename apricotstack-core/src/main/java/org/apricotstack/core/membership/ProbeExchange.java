package org.apricotstack.core.membership;

import org.apricotstack.core.membership.PeerProbes.ProbeAnswer;
import org.apricotstack.core.membership.PeerProbes.ProbeNews;

/** Port: makes what a probe carries, and takes what an answer carries. */
public interface ProbeExchange {

    /**
     * Makes the news to send.
     *
     * @return statements and versions
     */
    ProbeNews news();

    /**
     * Takes the answer to a probe.
     *
     * @param answer the answer
     */
    void take(ProbeAnswer answer);

    /**
     * Takes the news of a probe that a peer sent.
     *
     * @param news the news
     */
    void take(ProbeNews news);
}
