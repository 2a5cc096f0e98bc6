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

/** The gossip streams to all other routers, and what each of those routers reported of itself. */
final class OutboundGossipStreams implements AutoCloseable {

    private final ServingLoop loop;
    private final PeerTable peers;
    private final Supplier<NewsFrame> fullState;
    private GossipStreamOpener opener;
    private final Map<Address, GossipStream> streams = new HashMap<>();
    private final Map<Address, Peer> reported = new HashMap<>();

    /** Creates a set without streams; a peer that missed updates gets the full state. */
    OutboundGossipStreams(ServingLoop loop, PeerTable peers, Supplier<NewsFrame> fullState) {
        this.loop = loop;
        this.peers = peers;
        this.fullState = fullState;
        this.opener = tcp(loop);
    }

    /** Sets how streams are created. */
    void createWith(GossipStreamOpener newOpener) {
        opener = newOpener;
    }

    /** Returns how streams over TCP connections are created. */
    static GossipStreamOpener tcp(ServingLoop loop) {
        return (address, handler, fullState, onClosed) ->
                new OutboundGossipStream(loop, address, handler, fullState, onClosed);
    }

    /** Returns the stream to a router; a closed connection reveals at once that the peer stopped or is cut off. */
    GossipStream open(Address address, GossipHandler handler) {
        return streams.computeIfAbsent(
                address, to -> opener.create(to, handler, fullState, () -> peers.connectionLost(to, loop.nowMillis())));
    }

    /** Returns whether documents of another router are arriving, so that no other one need be asked for them. */
    boolean isReceiving() {
        return streams.values().stream().anyMatch(GossipStream::isReceiving);
    }

    /** Records what a router reported of itself; returns whether it was unknown before. */
    boolean reported(Peer peer) {
        return reported.put(peer.peerAddress(), peer) == null;
    }

    /** Returns what the router at an address reported last; {@code null} if nothing was received from it. */
    Peer lastReported(Address address) {
        return reported.get(address);
    }

    /** Returns whether the router at an address is active. */
    boolean isActive(Address address) {
        Peer peer = reported.get(address);
        return peer != null && peer.takesCallers();
    }

    /** Sends an update to the active routers. */
    void sendToActive(EncodedFrame frame) {
        streams.forEach((address, stream) -> {
            if (isActive(address)) {
                stream.send(frame);
            } else {
                stream.markOutOfSync();
            }
        });
    }

    /** Sends a frame over all open streams. */
    void sendToAll(EncodedFrame frame) {
        streams.values().forEach(stream -> stream.send(frame));
    }

    /** Closes the streams to routers that are no longer known. */
    void retainAll(Collection<Address> known) {
        streams.entrySet().removeIf(entry -> {
            boolean forgotten = !known.contains(entry.getKey());
            if (forgotten) {
                entry.getValue().close();
                reported.remove(entry.getKey());
            }
            return forgotten;
        });
    }

    /** Returns the addresses of the known routers of a data centre. */
    List<Address> addressesIn(DataCentreId dataCentre) {
        return reported.values().stream()
                .filter(peer -> peer.dataCentre().equals(dataCentre))
                .map(Peer::peerAddress)
                .toList();
    }

    /** Returns the number of data centres with known routers. */
    int dataCentres() {
        return (int) reported.values().stream().map(Peer::dataCentre).distinct().count();
    }

    /** Returns whether there is a stream to the router at an address, open or not. */
    boolean has(Address address) {
        return streams.containsKey(address);
    }

    /** Returns the number of streams, open or not. */
    int size() {
        return streams.size();
    }

    /** Returns the number of other active routers. */
    int active() {
        return (int) reported.keySet().stream().filter(this::isActive).count();
    }

    /** Returns whether updates can be sent to the router at an address. */
    boolean isOpen(Address address) {
        GossipStream stream = streams.get(address);
        return stream != null && stream.isOpen();
    }

    /** Returns the number of active routers to which updates can be sent. */
    int openToActive() {
        return (int) streams.keySet().stream()
                .filter(address -> isActive(address) && isOpen(address))
                .count();
    }

    @Override
    public void close() {
        streams.values().forEach(GossipStream::close);
        streams.clear();
    }
}
