package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.PermitIssuerSelection;
import org.apricotstack.wire.news.NewsFrame;

/** The other routers, as the exchange of rate limits uses them. */
interface LimitPeers extends GossipPeers {

    /** Returns this router's host. */
    HostId own();

    /** Returns the permit issuer of an upstream; without a host while this router cannot know it. */
    PermitIssuerSelection permitIssuerOf(UpstreamId upstream);

    /** Returns the address to which datagrams for a router are sent, or {@code null} if none was received from it. */
    Address addressOf(HostId host);

    /** Sends a datagram. */
    void send(Address address, NewsFrame frame);
}
