package org.apricotstack.serving.gossip;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.ratelimit.PermitIssuerSelector;
import org.apricotstack.wire.news.NewsFrame;

/** What the news of rate limits need of the other routers. */
interface LimitPeers extends GossipPeers {

    /** Returns this router's host. */
    HostId own();

    /** Returns who keeps the limit of an upstream; without a host while this router cannot know. */
    PermitIssuerSelector permitIssuerOf(UpstreamId upstream);

    /** Returns where a router takes datagrams, or {@code null} if it was not heard. */
    Address addressOf(HostId host);

    /** Sends a datagram. */
    void send(Address address, NewsFrame frame);
}
