package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.wire.news.NewsFrame;

/** The other routers, as the exchange of upstream state uses them. */
interface GossipPeers {

    /** Returns the number of other routers. */
    int others();

    /** Returns whether an incarnation of an upstream was superseded by a later one. */
    boolean isSuperseded(UpstreamId upstream);

    /** Opens streams to all active routers. */
    void openStreams();

    /** Sends a datagram to all standby routers. */
    void sendToStandby(NewsFrame frame);
}
