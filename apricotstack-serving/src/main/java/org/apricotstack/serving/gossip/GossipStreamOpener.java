package org.apricotstack.serving.gossip;

import java.util.function.Supplier;

import org.apricotstack.core.id.Address;
import org.apricotstack.wire.news.NewsFrame;

/** Creates the gossip streams to other routers. */
@FunctionalInterface
interface GossipStreamOpener {

    /**
     * Creates a stream that is not open.
     *
     * @param address the address of the peer
     * @param handler receives the replies of the peer
     * @param fullState the state for a peer that missed updates
     * @param onClosed called when the connection is lost
     * @return the stream
     */
    GossipStream create(Address address, GossipHandler handler, Supplier<NewsFrame> fullState, Runnable onClosed);
}
