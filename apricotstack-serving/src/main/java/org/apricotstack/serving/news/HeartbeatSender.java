package org.apricotstack.serving.news;

import java.util.function.LongSupplier;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;

/**
 * Tells the other routers that this one is there, each of them as often as it needs to know.
 *
 * <p>Routers that decide on requests keep streams between each other from their first placement on, since each
 * placement has to arrive; all else goes in datagrams. Without a placement a stream would be opened for nothing:
 * routers that start together all take themselves for part of a small fleet at first, and 83 of them would open some 80
 * streams each.
 */
final class HeartbeatSender {

    /**
     * A router that takes no callers tells those that do only every third beat that it is there: nobody is sent to it,
     * so its loss may be noticed late.
     */
    private static final int SLOW_BEATS = 3;

    /**
     * Two routers that both take no callers hear of each other's loss from those that do, and tell each other only
     * every twelfth beat that they are there. With {@link #SLOW_BEATS} this saves nearly half of all heartbeats in a
     * fleet of 83 of which 15 take callers (2,025 instead of 3,746 a beat, worked out).
     */
    private static final int RARE_BEATS = 12;

    private final NewsSink sink;
    private final OwnHeartbeat own;
    private final PeerTable peers;
    private final NewsLinks links;
    private final HeartbeatPort port;
    private final StartPhase start;
    private final Address ownAddress;
    private final LongSupplier intervalMillis;
    private boolean takesCallers;
    private boolean ready;
    private boolean tellsPlacements;
    private long beats;

    /** Creates a sender that has told nobody. */
    HeartbeatSender(
            NewsSink sink,
            OwnHeartbeat own,
            PeerTable peers,
            NewsLinks links,
            HeartbeatPort port,
            StartPhase start,
            Address ownAddress,
            LongSupplier intervalMillis) {
        this.sink = sink;
        this.own = own;
        this.peers = peers;
        this.links = links;
        this.port = port;
        this.start = start;
        this.ownAddress = ownAddress;
        this.intervalMillis = intervalMillis;
    }

    /** Tells whether this router said in its last heartbeat that it decides on requests. */
    boolean takesCallers() {
        return takesCallers;
    }

    /** Tells whether others that decide on requests have to hear of what this router places. */
    boolean tellsPlacements() {
        return tellsPlacements;
    }

    /** Returns this router as others hear of it. */
    Peer peer() {
        return own.peer(true, intervalMillis.getAsLong());
    }

    /** Sends a heartbeat to those whose turn it is. */
    void beat(long nowMillis) {
        beats++;
        own.nextRound();
        send(false, nowMillis);
    }

    /** Sends a heartbeat to all routers, and over all streams too, as a datagram may be lost. */
    void beatToAll(long nowMillis) {
        send(true, nowMillis);
        links.sendToAll(own.frame(takesCallers, intervalMillis.getAsLong()));
    }

    /** Sends a heartbeat to the routers of this data centre, which rely on what this one reads of the platform. */
    void beatToDataCentre() {
        EncodedFrame frame = greeting();
        for (Address address : links.addressesIn(own.dataCentre())) {
            if (!address.equals(ownAddress)) {
                port.send(address, frame);
            }
        }
    }

    /** Sends a heartbeat to those whose turn it is, or to all, as when it says something else than the last one. */
    private void send(boolean toAll, long nowMillis) {
        boolean everywhere = update(nowMillis) || toAll;
        Round round = round(everywhere, start.isYoung(nowMillis));
        for (Address address : peers.addresses()) {
            if (!address.equals(ownAddress)) {
                sendTo(address, round);
            }
        }
        links.retain(peers.addresses());
    }

    /**
     * The heartbeats of one beat.
     *
     * @param toDeciding for routers that decide on requests; {@code null} if it is not their turn
     * @param toOthers for those that stand by; {@code null} if it is not their turn
     */
    private record Round(EncodedFrame toDeciding, EncodedFrame toOthers) {}

    /** Writes the heartbeats of this beat; a router that has just started hurries to be heard. */
    private Round round(boolean everywhere, boolean young) {
        long interval = intervalMillis.getAsLong();
        if (takesCallers) {
            EncodedFrame often = own.frame(true, interval);
            return new Round(often, often);
        }
        boolean slowTurn = everywhere || young || beats % SLOW_BEATS == 0;
        boolean rareTurn = everywhere || beats % (young ? SLOW_BEATS : RARE_BEATS) == 0;
        return new Round(
                slowTurn ? own.frame(false, interval * SLOW_BEATS) : null,
                rareTurn ? own.frame(false, interval * RARE_BEATS) : null);
    }

    /** Sends a router the heartbeat of this beat that is meant for it. */
    private void sendTo(Address address, Round round) {
        boolean decides = links.decides(address);
        if (takesCallers && decides && (tellsPlacements || links.has(address))) {
            links.open(address, sink).heartbeat(round.toDeciding(), intervalMillis.getAsLong());
            return;
        }
        EncodedFrame frame = decides ? round.toDeciding() : round.toOthers();
        if (frame != null) {
            port.send(address, frame);
        }
    }

    /** Works out what this router says of itself; tells whether it is something else than before. */
    private boolean update(long nowMillis) {
        boolean takesThem = own.takesCallers(nowMillis);
        boolean isReady = own.isReady();
        boolean changed = takesThem != takesCallers || isReady != ready;
        takesCallers = takesThem;
        ready = isReady;
        tellsPlacements &= takesThem;
        return changed;
    }

    /** Notes a placement; the first one opens streams to all routers that have to hear of it. */
    void placed() {
        if (!takesCallers || tellsPlacements) {
            return;
        }
        tellsPlacements = true;
        EncodedFrame greeting = greeting();
        for (Address address : peers.addresses()) {
            if (links.decides(address) && !address.equals(ownAddress)) {
                links.open(address, sink).heartbeat(greeting, intervalMillis.getAsLong());
            }
        }
    }

    /** Opens a stream to a router that has to hear of placements, if there is none. */
    void openTo(Peer peer) {
        if (tellsPlacements && peer.takesCallers() && !links.isOpen(peer.peerAddress())) {
            links.open(peer.peerAddress(), sink).heartbeat(greeting(), intervalMillis.getAsLong());
        }
    }

    /** Tells a router that was not heard before of the others. */
    void introduce(Peer peer) {
        port.send(peer.peerAddress(), own.introduction(takesCallers, intervalMillis.getAsLong()));
    }

    /** Returns a heartbeat that begins a stream. */
    EncodedFrame greeting() {
        return own.frame(takesCallers, intervalMillis.getAsLong() * (takesCallers ? 1 : RARE_BEATS));
    }
}
