package org.apricotstack.serving.gossip;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.wire.news.NewsFrame;

/** The streams of news to all other routers, and what each of those wants to hear. */
final class OutboundGossipStreams implements AutoCloseable {

    private final ServingLoop loop;
    private final PeerTable peers;
    private final Supplier<NewsFrame> allNews;
    private final Map<Address, OutboundGossipStream> links = new HashMap<>();
    private final Map<Address, Peer> heard = new HashMap<>();

    /** Creates links to nobody; a peer that missed news is told of all that is open. */
    OutboundGossipStreams(ServingLoop loop, PeerTable peers, Supplier<NewsFrame> allNews) {
        this.loop = loop;
        this.peers = peers;
        this.allNews = allNews;
    }

    /** Returns the link to a router; a stream that ends tells at once that its peer stopped or was cut. */
    OutboundGossipStream open(Address address, GossipHandler sink) {
        return links.computeIfAbsent(
                address,
                to -> new OutboundGossipStream(
                        loop, to, sink, allNews, () -> peers.connectionLost(to, loop.nowMillis())));
    }

    /** Notes what a router said of itself; tells whether it was not heard before. */
    boolean heard(Peer peer) {
        return heard.put(peer.peerAddress(), peer) == null;
    }

    /** Returns what the router at an address said last; {@code null} if it was not heard. */
    Peer heardAt(Address address) {
        return heard.get(address);
    }

    /** Tells whether the router at an address said that it decides on requests. */
    boolean decides(Address address) {
        Peer peer = heard.get(address);
        return peer != null && peer.takesCallers();
    }

    /** Sends news to the routers that decide on requests. */
    void sendToDeciding(EncodedFrame frame) {
        links.forEach((address, link) -> {
            if (decides(address)) {
                link.send(frame);
            } else {
                link.skip();
            }
        });
    }

    /** Sends something to all routers to which a stream is open. */
    void sendToAll(EncodedFrame frame) {
        links.values().forEach(link -> link.send(frame));
    }

    /** Closes the links to routers that are forgotten. */
    void retain(Collection<Address> known) {
        links.entrySet().removeIf(entry -> {
            boolean forgotten = !known.contains(entry.getKey());
            if (forgotten) {
                entry.getValue().close();
                heard.remove(entry.getKey());
            }
            return forgotten;
        });
    }

    /** Lists the addresses of the routers of a data centre that were heard. */
    List<Address> addressesIn(DataCentreId dataCentre) {
        return heard.values().stream()
                .filter(peer -> peer.dataCentre().equals(dataCentre))
                .map(Peer::peerAddress)
                .toList();
    }

    /** Returns in how many data centres routers were heard. */
    int dataCentres() {
        return (int) heard.values().stream().map(Peer::dataCentre).distinct().count();
    }

    /** Tells whether there is a stream to the router at an address, open or not. */
    boolean has(Address address) {
        return links.containsKey(address);
    }

    /** Returns how many streams there are, open or not. */
    int size() {
        return links.size();
    }

    /** Returns how many other routers decide on requests. */
    int deciding() {
        return (int) heard.keySet().stream().filter(this::decides).count();
    }

    /** Tells whether news can be sent to the router at an address. */
    boolean isOpen(Address address) {
        OutboundGossipStream link = links.get(address);
        return link != null && link.isOpen();
    }

    /** Returns how many routers that decide on requests can be sent news. */
    int openToDeciding() {
        return (int) links.keySet().stream()
                .filter(address -> decides(address) && isOpen(address))
                .count();
    }

    @Override
    public void close() {
        links.values().forEach(OutboundGossipStream::close);
        links.clear();
    }
}
