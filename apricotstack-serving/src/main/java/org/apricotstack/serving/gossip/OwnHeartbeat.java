package org.apricotstack.serving.gossip;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;

import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.DataCentreId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.peer.RequestRate;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;

/** Builds the heartbeats of this router, and determines whether it is active. */
final class OwnHeartbeat {

    /**
     * Requests a second above which a router that callers are not directed to is active all the same and needs to
     * receive placements.
     */
    private static final double MIN_ACTIVE_REQUESTS_PER_SECOND = 0.5;

    /**
     * Number of spare routers of each data centre that count as active, so that they receive placements before callers
     * are directed to them.
     */
    private static final int SPARE_ENTRY_ROUTERS = 1;

    /** Number of rounds after the start whose heartbeats include addresses of other routers. */
    private static final long FIRST_ROUNDS_WITH_ADDRESSES = 6;

    /** Interval of later rounds that include addresses; addresses rarely change. */
    private static final long ROUNDS_BETWEEN_ADDRESSES = 8;

    /** Maximum number of addresses in a heartbeat. */
    private static final int MAX_ADDRESSES = 16;

    /** Maximum number of addresses in the introduction for a newcomer: as many as fit in a datagram of 1,400 bytes. */
    private static final int MAX_INTRODUCED_ADDRESSES = 48;

    /** Maximum number of silent hosts in a heartbeat: as many as fit in a datagram beside the rest. */
    private static final int MAX_SILENT_HOSTS = 24;

    private final ServingLoop loop;
    private final RouterIdentity identity;
    private final PeerTable peers;
    private final PublishedState state;
    private final Readiness ready;
    private final RequestRate requests;
    private final BooleanSupplier readsPlatform;
    private List<Address> includedAddresses = List.of();
    private int nextAddress;
    private long rounds;

    /** Creates the heartbeats of a router. */
    OwnHeartbeat(
            ServingLoop loop,
            RouterIdentity identity,
            PeerTable peers,
            PublishedState state,
            Readiness ready,
            RequestRate requests,
            BooleanSupplier readsPlatform) {
        this.loop = loop;
        this.readsPlatform = readsPlatform;
        this.identity = identity;
        this.peers = peers;
        this.state = state;
        this.ready = ready;
        this.requests = requests;
    }

    /** Starts another round; some rounds include addresses of other routers. */
    void nextRound() {
        rounds++;
        boolean includesAddresses = rounds <= FIRST_ROUNDS_WITH_ADDRESSES || rounds % ROUNDS_BETWEEN_ADDRESSES == 0;
        includedAddresses = includesAddresses ? someAddresses(MAX_ADDRESSES) : List.of();
    }

    /** Returns whether this router can serve callers. */
    boolean isReady() {
        return ready.ready();
    }

    /** Returns the data centre of this router. */
    DataCentreId dataCentre() {
        return identity.dataCentre();
    }

    /** Returns this router as heartbeats describe it. */
    Peer peer(boolean takesCallers, long nextMillis) {
        return new Peer(
                identity.process(),
                identity.dataCentre(),
                identity.callerAddress(),
                identity.peerAddress(),
                ready.ready(),
                state.configurationVersion(),
                state.upstreamsRevision(),
                identity.capacityPercent(),
                requests.perSecond(),
                takesCallers,
                nextMillis,
                ready.stopLeftMillis());
    }

    /**
     * Returns whether this router is active: callers are directed to it, may soon be, or send requests all the same.
     */
    boolean takesCallers(long nowMillis) {
        boolean chosen = peers.entryRouters(peer(true, 0), SPARE_ENTRY_ROUTERS, nowMillis).stream()
                .anyMatch(peer -> peer.process().equals(identity.process()));
        return chosen || requests.perSecond() > MIN_ACTIVE_REQUESTS_PER_SECOND;
    }

    /** Encodes the heartbeat of this round. */
    EncodedFrame frame(boolean takesCallers, long nextMillis) {
        return frame(takesCallers, nextMillis, includedAddresses);
    }

    /** Encodes a heartbeat for a newcomer, which may know only its seeds. */
    EncodedFrame introduction(boolean takesCallers, long nextMillis) {
        return frame(takesCallers, nextMillis, someAddresses(MAX_INTRODUCED_ADDRESSES));
    }

    /** Encodes a heartbeat that includes the given addresses. */
    private EncodedFrame frame(boolean takesCallers, long nextMillis, List<Address> addresses) {
        Heartbeat.Builder heartbeat = GossipMessages.heartbeat(peer(takesCallers, nextMillis))
                .setReadsPlatform(readsPlatform.getAsBoolean())
                .setUpstreamsListed(state.upstreamsListed())
                .setPlatformAgeMillis((int) (state.freshness().ageMillis(loop.nowMillis()) + 1));
        if (takesCallers) {
            peers.suspectedHosts(MAX_SILENT_HOSTS, loop.nowMillis())
                    .forEach(host -> heartbeat.addSilentHosts(host.value()));
        }
        addresses.forEach(address -> heartbeat.addPeerAddresses(address.toString()));
        return EncodedFrame.of(NewsFrame.newBuilder().setHeartbeat(heartbeat).build());
    }

    /** Returns some of the known addresses, in turn. */
    private List<Address> someAddresses(int max) {
        List<Address> all = List.copyOf(peers.addresses());
        List<Address> some = new ArrayList<>();
        for (int i = 0; i < Math.min(max, all.size()); i++) {
            some.add(all.get((nextAddress + i) % all.size()));
        }
        nextAddress = (nextAddress + some.size()) % Math.max(1, all.size());
        return some;
    }
}
