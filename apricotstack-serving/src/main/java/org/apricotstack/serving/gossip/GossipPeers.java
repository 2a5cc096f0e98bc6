package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.wire.news.NewsFrame;

/** What news of upstreams need of the other routers. */
interface GossipPeers {

    /** Returns how many other routers there are. */
    int others();

    /** Tells whether a start of an upstream is known to be over. */
    boolean isOver(UpstreamId upstream);

    /** Opens streams to all routers that decide on requests. */
    void openStreams();

    /** Sends something to all routers to which no streams are kept. */
    void tellStandBy(NewsFrame frame);
}
