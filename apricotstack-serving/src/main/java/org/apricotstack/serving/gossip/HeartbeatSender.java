package org.apricotstack.serving.gossip;

import java.util.function.BooleanSupplier;
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
     * Beats after which a router tells those that may learn late that it is there: one that stands by those of its data
     * centre that decide, since nobody is sent to it; one that decides those that stand by elsewhere, since they rarely
     * send callers to it.
     */
    private static final int SLOW_BEATS = 3;

    /**
     * Beats after which a router that stands by tells others of its data centre that stand by, and those that decide
     * elsewhere. Of its loss they hear from those that decide in its data centre.
     */
    private static final int RARE_BEATS = 12;

    /**
     * Beats after which two routers that stand by in different data centres tell each other, so that they go on to know
     * how large the fleet is. With the others this leaves a third of all heartbeats in a fleet of 83 in three data
     * centres of which 15 decide (1,140 instead of 3,746 a beat, worked out), and a fifth of those between data
     * centres.
     */
    private static final int DISTANT_BEATS = 48;

    private final GossipHandler sink;
    private final OwnHeartbeat own;
    private final PeerTable peers;
    private final OutboundGossipStreams links;
    private final HeartbeatPort port;
    private final StartPhase start;
    private final Address ownAddress;
    private final LongSupplier intervalMillis;
    private final BooleanSupplier hasNews;
    private boolean takesCallers;
    private boolean ready;
    private boolean tellsPlacements;
    private long beats;

    /** Creates a sender that has told nobody. */
    HeartbeatSender(
            GossipHandler sink,
            OwnHeartbeat own,
            PeerTable peers,
            OutboundGossipStreams links,
            HeartbeatPort port,
            StartPhase start,
            Address ownAddress,
            LongSupplier intervalMillis,
            BooleanSupplier hasNews) {
        this.sink = sink;
        this.own = own;
        this.peers = peers;
        this.links = links;
        this.port = port;
        this.start = start;
        this.ownAddress = ownAddress;
        this.intervalMillis = intervalMillis;
        this.hasNews = hasNews;
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
     * The heartbeats of one beat; {@code null} for those whose turn it is not.
     *
     * @param toDeciding for routers of this data centre that decide on requests
     * @param toDecidingElsewhere for those of other data centres
     * @param toStandBy for routers of this data centre that stand by
     * @param toStandByElsewhere for those of other data centres
     */
    private record Round(
            EncodedFrame toDeciding,
            EncodedFrame toDecidingElsewhere,
            EncodedFrame toStandBy,
            EncodedFrame toStandByElsewhere) {}

    /** Writes the heartbeats of this beat; a router that has just started hurries to be heard. */
    private Round round(boolean everywhere, boolean young) {
        boolean hurries = everywhere || young;
        boolean slow = everywhere || beats % SLOW_BEATS == 0;
        boolean rare = young ? slow : everywhere || beats % RARE_BEATS == 0;
        boolean distant = young ? slow : everywhere || beats % DISTANT_BEATS == 0;
        if (takesCallers) {
            EncodedFrame often = frame(true, 1);
            return new Round(often, often, often, frame(slow || hurries, SLOW_BEATS));
        }
        EncodedFrame seldom = frame(rare || hurries, RARE_BEATS);
        return new Round(
                frame(slow || hurries, SLOW_BEATS), seldom, rare ? seldom : null, frame(distant, DISTANT_BEATS));
    }

    /** Writes a heartbeat after which the next one follows some beats later, if there is one now. */
    private EncodedFrame frame(boolean now, int nextBeats) {
        return now ? own.frame(takesCallers, intervalMillis.getAsLong() * nextBeats) : null;
    }

    /** Sends a router the heartbeat of this beat that is meant for it. */
    private void sendTo(Address address, Round round) {
        Peer peer = links.heardAt(address);
        boolean decides = peer != null && peer.takesCallers();
        if (takesCallers && decides && (tellsPlacements || links.has(address))) {
            links.open(address, sink).heartbeat(round.toDeciding(), intervalMillis.getAsLong());
            return;
        }
        boolean elsewhere = peer != null && !peer.dataCentre().equals(own.dataCentre());
        EncodedFrame near = decides ? round.toDeciding() : round.toStandBy();
        EncodedFrame far = decides ? round.toDecidingElsewhere() : round.toStandByElsewhere();
        EncodedFrame frame = elsewhere ? far : near;
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
        openStreams();
    }

    /** Opens streams to all routers that decide on requests to which there is none. */
    void openStreams() {
        EncodedFrame greeting = greeting();
        for (Address address : peers.addresses()) {
            if (links.decides(address) && !address.equals(ownAddress) && !links.isOpen(address)) {
                links.open(address, sink).heartbeat(greeting, intervalMillis.getAsLong());
            }
        }
    }

    /** Sends something to all routers that stand by, to which no news go. */
    void sendToStandBy(EncodedFrame frame) {
        for (Address address : peers.addresses()) {
            if (!links.decides(address) && !address.equals(ownAddress)) {
                port.send(address, frame);
            }
        }
    }

    /** Opens a stream to a router that has to hear of placements or of other news, if there is none. */
    void openTo(Peer peer) {
        boolean tells = tellsPlacements || hasNews.getAsBoolean();
        if (tells && peer.takesCallers() && !links.isOpen(peer.peerAddress())) {
            links.open(peer.peerAddress(), sink).heartbeat(greeting(), intervalMillis.getAsLong());
        }
    }

    /** Tells a router that was not heard before of the others. */
    void introduce(Peer peer) {
        port.send(peer.peerAddress(), own.introduction(takesCallers, longestMillis()));
    }

    /** Returns a heartbeat that begins a stream. */
    EncodedFrame greeting() {
        return own.frame(takesCallers, longestMillis());
    }

    /**
     * Returns the time until the next heartbeat to whichever router of this data centre hears of this one least
     * often.
     */
    private long longestMillis() {
        return intervalMillis.getAsLong() * (takesCallers ? 1 : RARE_BEATS);
    }
}
