package org.apricotstack.serving.gossip;

import java.util.Collection;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;

/**
 * Sends this router's heartbeats, to each other router only as often as that router needs them.
 *
 * <p>Active routers keep streams to each other from their first placement on, since each placement has to arrive;
 * everything else goes in datagrams. Opening streams before there is a placement would be wasted: routers that start
 * together all assume a small fleet at first, so that each of 83 would open some 80 streams.
 */
final class HeartbeatSender {

    /**
     * Rounds between heartbeats to routers that may learn late that this one is alive: from a standby router to the
     * active ones of its data centre, since no callers are sent to it; from an active router to standby ones
     * elsewhere, since they rarely send callers to it.
     */
    private static final int SLOW_ROUNDS = 3;

    /**
     * Rounds between heartbeats from a standby router to standby ones of its data centre and to active ones elsewhere.
     * They learn of its loss from the active routers of its data centre.
     */
    private static final int RARE_ROUNDS = 12;

    /**
     * Rounds between heartbeats of two standby routers in different data centres, which they need to know the size of
     * the fleet. Together these intervals leave a third of all heartbeats in a fleet of 83 routers in three data
     * centres with 15 active ones (calculated: 1,140 instead of 3,746 a round), and a fifth of those between data
     * centres.
     */
    private static final int DISTANT_ROUNDS = 48;

    private final GossipHandler handler;
    private final OwnHeartbeat own;
    private final PeerTable peers;
    private final OutboundGossipStreams streams;
    private final DatagramPort port;
    private final StartPhase start;
    private final Address ownAddress;
    private final LongSupplier intervalMillis;
    private final BooleanSupplier hasUpdates;
    private boolean takesCallers;
    private boolean ready;
    private boolean reportsPlacements;
    private long rounds;

    /** Creates a sender that has sent no heartbeat yet. */
    HeartbeatSender(
            GossipHandler handler,
            OwnHeartbeat own,
            PeerTable peers,
            OutboundGossipStreams streams,
            DatagramPort port,
            StartPhase start,
            Address ownAddress,
            LongSupplier intervalMillis,
            BooleanSupplier hasUpdates) {
        this.handler = handler;
        this.own = own;
        this.peers = peers;
        this.streams = streams;
        this.port = port;
        this.start = start;
        this.ownAddress = ownAddress;
        this.intervalMillis = intervalMillis;
        this.hasUpdates = hasUpdates;
    }

    /** Returns whether this router was active according to its last heartbeat. */
    boolean takesCallers() {
        return takesCallers;
    }

    /** Returns whether other active routers have to receive the placements of this one. */
    boolean reportsPlacements() {
        return reportsPlacements;
    }

    /** Returns this router as heartbeats describe it. */
    Peer peer() {
        return own.peer(true, intervalMillis.getAsLong());
    }

    /** Starts a round: sends a heartbeat to each router that is due one. */
    void sendHeartbeats(long nowMillis) {
        rounds++;
        own.nextRound();
        send(false, nowMillis);
    }

    /** Sends a heartbeat to all routers, and over all streams too, as a datagram may be lost. */
    void sendToAllRouters(long nowMillis) {
        send(true, nowMillis);
        streams.sendToAll(own.frame(takesCallers, intervalMillis.getAsLong()));
    }

    /** Sends a heartbeat to the routers of this data centre, which rely on this one to follow the platform. */
    void sendToDataCentre() {
        EncodedFrame frame = greeting();
        for (Address address : streams.addressesIn(own.dataCentre())) {
            if (!address.equals(ownAddress)) {
                port.send(address, frame);
            }
        }
    }

    /** Sends a heartbeat to some routers now. */
    void sendTo(Collection<Peer> receivers) {
        EncodedFrame frame = greeting();
        for (Peer receiver : receivers) {
            port.send(receiver.peerAddress(), frame);
        }
    }

    /** Sends a heartbeat to each router that is due one, or to all if forced or if its content changed. */
    private void send(boolean toAll, long nowMillis) {
        boolean changedOrForced = update(nowMillis) || toAll;
        Round round = round(changedOrForced, start.isStarting(nowMillis));
        for (Address address : peers.addresses()) {
            if (!address.equals(ownAddress)) {
                sendTo(address, round);
            }
        }
        streams.retainAll(peers.addresses());
    }

    /**
     * The heartbeats of one round; {@code null} for a group of routers that is not due one.
     *
     * @param toActive for active routers of this data centre
     * @param toActiveElsewhere for active routers of other data centres
     * @param toStandby for standby routers of this data centre
     * @param toStandbyElsewhere for standby routers of other data centres
     */
    private record Round(
            EncodedFrame toActive,
            EncodedFrame toActiveElsewhere,
            EncodedFrame toStandby,
            EncodedFrame toStandbyElsewhere) {}

    /**
     * Encodes the heartbeats of this round. A router that has just started sends more of them, so that others know it
     * soon.
     */
    private Round round(boolean changedOrForced, boolean starting) {
        boolean immediate = changedOrForced || starting;
        boolean slow = changedOrForced || rounds % SLOW_ROUNDS == 0;
        boolean rare = starting ? slow : changedOrForced || rounds % RARE_ROUNDS == 0;
        boolean distant = starting ? slow : changedOrForced || rounds % DISTANT_ROUNDS == 0;
        if (takesCallers) {
            EncodedFrame everyRound = frame(true, 1);
            return new Round(everyRound, everyRound, everyRound, frame(slow || immediate, SLOW_ROUNDS));
        }
        EncodedFrame lessOften = frame(rare || immediate, RARE_ROUNDS);
        return new Round(
                frame(slow || immediate, SLOW_ROUNDS),
                lessOften,
                rare ? lessOften : null,
                frame(distant, DISTANT_ROUNDS));
    }

    /** Encodes a heartbeat that announces the next one after some rounds; {@code null} if none is due now. */
    private EncodedFrame frame(boolean now, int nextRounds) {
        return now ? own.frame(takesCallers, intervalMillis.getAsLong() * nextRounds) : null;
    }

    /** Sends a router the heartbeat of its group in this round. */
    private void sendTo(Address address, Round round) {
        Peer peer = streams.lastReported(address);
        boolean isActive = peer != null && peer.takesCallers();
        if (takesCallers && isActive && (reportsPlacements || streams.has(address))) {
            streams.open(address, handler).heartbeat(round.toActive(), intervalMillis.getAsLong());
            return;
        }
        boolean otherDataCentre = peer != null && !peer.dataCentre().equals(own.dataCentre());
        EncodedFrame local = isActive ? round.toActive() : round.toStandby();
        EncodedFrame remote = isActive ? round.toActiveElsewhere() : round.toStandbyElsewhere();
        EncodedFrame frame = otherDataCentre ? remote : local;
        if (frame != null) {
            port.send(address, frame);
        }
    }

    /** Updates whether this router is active and ready; returns whether either changed. */
    private boolean update(long nowMillis) {
        boolean newTakesCallers = own.takesCallers(nowMillis);
        boolean isReady = own.isReady();
        boolean changed = newTakesCallers != takesCallers || isReady != ready;
        takesCallers = newTakesCallers;
        ready = isReady;
        reportsPlacements &= newTakesCallers;
        return changed;
    }

    /** Records a placement; the first one opens streams to all active routers. */
    void onPlacement() {
        if (!takesCallers || reportsPlacements) {
            return;
        }
        reportsPlacements = true;
        openStreams();
    }

    /** Opens streams to all active routers that have none yet. */
    void openStreams() {
        EncodedFrame greeting = greeting();
        for (Address address : peers.addresses()) {
            if (streams.isActive(address) && !address.equals(ownAddress) && !streams.isOpen(address)) {
                streams.open(address, handler).heartbeat(greeting, intervalMillis.getAsLong());
            }
        }
    }

    /** Sends a datagram to all standby routers, which receive no updates over streams. */
    void sendToStandby(EncodedFrame frame) {
        for (Address address : peers.addresses()) {
            if (!streams.isActive(address) && !address.equals(ownAddress)) {
                port.send(address, frame);
            }
        }
    }

    /** Opens a stream to an active router that has none yet, if there are placements or other state to report. */
    void openTo(Peer peer) {
        boolean needsStream = reportsPlacements || hasUpdates.getAsBoolean();
        if (needsStream && peer.takesCallers() && !streams.isOpen(peer.peerAddress())) {
            streams.open(peer.peerAddress(), handler).heartbeat(greeting(), intervalMillis.getAsLong());
        }
    }

    /** Sends the addresses of other routers to a newcomer. */
    void introduce(Peer peer) {
        port.send(peer.peerAddress(), own.introduction(takesCallers, longestMillis()));
    }

    /** Returns a heartbeat that starts a stream. */
    EncodedFrame greeting() {
        return own.frame(takesCallers, longestMillis());
    }

    /** Returns the longest interval between two heartbeats to the same router of this data centre. */
    private long longestMillis() {
        return intervalMillis.getAsLong() * (takesCallers ? 1 : RARE_ROUNDS);
    }
}
