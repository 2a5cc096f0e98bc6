package org.apricotstack.serving.gossip;

import java.util.function.BooleanSupplier;

import org.apricotstack.core.engine.EngineLoadTable;
import org.apricotstack.core.engine.EnginePlacement;
import org.apricotstack.core.engine.InFlightPlacements;
import org.apricotstack.core.failure.ApricotException;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.HostId;
import org.apricotstack.core.id.ProcessId;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.peer.Peer;
import org.apricotstack.core.peer.PeerTable;
import org.apricotstack.core.peer.PlatformReaderSelection;
import org.apricotstack.core.peer.RequestRate;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.upstream.DrainTable;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.serving.publication.ReaderDuty;
import org.apricotstack.serving.run.PlacementGossip;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;

/** Sends this router's state updates to all others and applies theirs. */
public final class GossipHub implements GossipHandler, PlacementGossip, ReaderDuty, AutoCloseable {

    /** A router whose first heartbeat has fewer addresses is sent more; more than there are seeds. */
    private static final int MIN_ADDRESSES_TO_SKIP_INTRODUCTION = 5;

    private final ServingLoop loop;
    private final PeerTable peers;
    private final EngineLoadTable loadTable;
    private final PublishedState state;
    private final DecisionLog log;
    private final DocumentExchange documents;
    private final OutboundGossipStreams streams;
    private final MembershipLog membershipLog;
    private final FleetLimitPeers limitPeers;
    private final UpstreamGossip upstreams;
    private final RequestRate requests;
    private final PendingFrame pending;
    private final InFlightPlacements inFlight = new InFlightPlacements();
    private final StartPhase start;
    private final PlacementReceiver placements;
    private final Readiness ready;
    private final BooleanSupplier readsPlatform;
    private HeartbeatSender heartbeats;
    private PlatformGossip platformGossip;
    private long rateIntervalStartMillis;
    private boolean closed;

    /**
     * Creates a hub that sends nothing yet.
     *
     * @param loop the event loop
     * @param peers receives heartbeats
     * @param loadTable receives the placements of other routers
     * @param outlierDetector receives failures that other routers observed
     * @param suspects receives requests under which upstreams crashed at other routers
     * @param limits receives the rate limits and cold periods of upstreams that other routers learnt
     * @param drains receives the drains that upstreams announced to other routers
     * @param own this router's host
     * @param state receives documents that peers know
     * @param log receives changes of membership and state
     * @param ready tells whether this router serves callers
     * @param readsPlatform whether this router follows the platform and gets responses
     * @param onBehind called when peers know more than the platform has reported to this router
     */
    public GossipHub(
            ServingLoop loop,
            PeerTable peers,
            EngineLoadTable loadTable,
            OutlierDetector outlierDetector,
            SuspectTable suspects,
            LimitsInForce limits,
            DrainTable drains,
            HostId own,
            PublishedState state,
            DecisionLog log,
            Readiness ready,
            BooleanSupplier readsPlatform,
            Runnable onBehind) {
        this.loop = loop;
        this.peers = peers;
        this.loadTable = loadTable;
        this.state = state;
        this.log = log;
        this.ready = ready;
        this.readsPlatform = readsPlatform;
        this.documents = new DocumentExchange(loop, state, log, onBehind);
        this.streams = new OutboundGossipStreams(loop, peers, this::fullState);
        this.pending = new PendingFrame(loop, streams);
        this.membershipLog = new MembershipLog(log);
        this.start = new StartPhase(loop.nowMillis());
        this.placements = new PlacementReceiver(loadTable, outlierDetector, state, start);
        this.limitPeers = new FleetLimitPeers(loop, own, peers, state, start, ready::ready, this::knownRouters);
        this.upstreams = new UpstreamGossip(
                new SuspectChannel(loop, suspects, log, pending::frame, this::activePeers),
                new LimitChannel(loop, limits, limitPeers, log, pending::frame),
                new DrainChannel(loop, drains, limitPeers, log, pending::frame));
        this.rateIntervalStartMillis = loop.nowMillis();
        this.requests = new RequestRate(rateIntervalStartMillis);
    }

    /**
     * Starts sending heartbeats.
     *
     * @param self identity and addresses of this router
     * @param port sends and receives datagrams
     */
    public void start(RouterIdentity self, HeartbeatPort port) {
        start(self, port, OutboundGossipStreams.tcp(loop));
    }

    /** Starts sending heartbeats through any port, with streams of any kind. */
    void start(RouterIdentity self, DatagramPort port, GossipStreamOpener opener) {
        streams.createWith(opener);
        port.onFrame(this::datagram);
        OwnHeartbeat own = new OwnHeartbeat(loop, self, peers, state, ready, requests, readsPlatform);
        peers.addAddress(self.peerAddress());
        heartbeats = new HeartbeatSender(
                this, own, peers, streams, port, start, self.peerAddress(), this::intervalMillis, upstreams::hasState);
        upstreams.suspects().sendThrough(heartbeats);
        limitPeers.sendThrough(heartbeats, port);
        platformGossip = new PlatformGossip(
                loop, this, state, peers, documents, streams, heartbeats, readsPlatform, this::knownRouters, log);
        sendHeartbeats();
        loop.scheduleWithFixedDelay(PlatformReaderSelection.HEARTBEAT_MILLIS, platformGossip::sendHeartbeats);
    }

    /** Reports the known platform versions to the routers of this data centre if they changed. */
    public void reportPlatformChanges() {
        platformGossip.reportChanges();
    }

    @Override
    public int platformReaders() {
        return platformGossip == null ? 1 : platformGossip.readers();
    }

    @Override
    public boolean mustReadPlatform() {
        return platformGossip == null || platformGossip.mustReadPlatform();
    }

    @Override
    public long checkAgeMillis() {
        return platformGossip == null ? Long.MAX_VALUE : platformGossip.checkAgeMillis();
    }

    @Override
    public void announceVerified() {
        if (platformGossip != null) {
            platformGossip.announceVerified();
        }
    }

    /** Schedules the next round of heartbeats, which follows also if this one fails, and sends those of this round. */
    private void sendHeartbeats() {
        if (closed) {
            return;
        }
        loop.schedule(intervalMillis(), this::sendHeartbeats);
        long now = loop.nowMillis();
        peers.expire(now).forEach(removed -> removeProcess(removed, now));
        membershipLog.update(peers.alive(now));
        if (now - rateIntervalStartMillis >= StartPhase.HEARTBEAT_MILLIS) {
            rateIntervalStartMillis = now;
            requests.endInterval(now);
        }
        heartbeats.sendHeartbeats(now);
    }

    /** Drops the placements and trials of a router process that has ended. */
    private void removeProcess(ProcessId removed, long nowMillis) {
        loadTable.removeProcess(removed, nowMillis);
        upstreams.suspects().removeProcess(removed);
    }

    /** Returns the interval between heartbeats, in milliseconds. */
    private long intervalMillis() {
        return start.heartbeatMillis(knownRouters(), loop.nowMillis());
    }

    /**
     * Sends a heartbeat to all routers now, also over all open streams: if a datagram were lost, a stopping router
     * would be listed for callers for another interval.
     */
    public void heartbeat() {
        heartbeats.sendToAllRouters(loop.nowMillis());
    }

    /**
     * Returns this router as heartbeats describe it.
     *
     * @return the content of the next heartbeat
     */
    public Peer ownPeer() {
        return heartbeats.peer();
    }

    /** Receives a datagram. */
    private void datagram(NewsFrame frame, Address sender) {
        receive(frame, new InboundGossipStream(), sender);
    }

    @Override
    public void frame(NewsFrame frame, InboundGossipStream stream) {
        if (!loop.loop().inEventLoop()) {
            loop.execute(() -> frame(frame, stream));
            return;
        }
        receive(frame, stream, null);
    }

    /** Applies a state update; the sender is {@code null} if it came over a stream. */
    private void receive(NewsFrame frame, InboundGossipStream stream, Address sender) {
        try {
            if (frame.hasHeartbeat() && heartbeats != null) {
                receiveHeartbeat(frame.getHeartbeat(), stream);
            }
            if (stream.sender() != null) {
                placements.receive(frame, stream.sender(), loop.nowMillis());
            }
            upstreams.receive(frame, stream.sender(), sender);
            placements.receiveAvoided(frame, loop.nowMillis());
        } catch (ApricotException e) {
            log.line("news_rejected").put("problem", e.getMessage()).write();
        } catch (RuntimeException | Error e) {
            loop.taskFailed(e);
        }
    }

    /** Applies a heartbeat. */
    private void receiveHeartbeat(Heartbeat heartbeat, InboundGossipStream stream) {
        long now = loop.nowMillis();
        ProcessId process = new ProcessId(new HostId(heartbeat.getHost()), heartbeat.getIncarnation());
        stream.sender(process);
        Peer peer = GossipMessages.peer(process, heartbeat);
        boolean isNew = streams.reported(peer);
        ProcessId previous = peers.recordHeartbeat(peer, now);
        if (previous != null) {
            removeProcess(previous, now);
        }
        heartbeat.getPeerAddressesList().forEach(address -> peers.addAddress(Address.parse(address)));
        platformGossip.recordPeer(peer, heartbeat);
        limitPeers.silentHostsReported(process.host(), heartbeat.getSilentHostsList());
        heartbeats.openTo(peer);
        if (isNew && heartbeat.getPeerAddressesCount() < MIN_ADDRESSES_TO_SKIP_INTRODUCTION) {
            heartbeats.introduce(peer);
        }
    }

    @Override
    public NewsReply documents(DocumentRequest request) {
        return documents.answer(request);
    }

    @Override
    public void reply(NewsReply reply, String source) {
        documents.receive(reply, source);
    }

    @Override
    public void placementStarted(EnginePlacement placement, long limitMillis) {
        requests.count();
        inFlight.place(placement, limitMillis, loop.nowMillis());
        heartbeats.onPlacement();
        pending.frame().addPlaced(GossipMessages.placed(placement, limitMillis));
    }

    @Override
    public void decodeStarted(EnginePlacement placement) {
        inFlight.startDecoding(placement.id());
        pending.frame().addWriting(placement.id().number());
    }

    @Override
    public void placementEnded(EnginePlacement placement) {
        inFlight.remove(placement.id());
        pending.frame().addEnded(placement.id().number());
    }

    @Override
    public void upstreamAvoided(UpstreamId upstream, long avoidMillis) {
        pending.frame().addAvoided(GossipMessages.avoided(upstream, avoidMillis));
    }

    @Override
    public void drainChanged(UpstreamId upstream) {
        upstreams.drains().broadcast(upstream);
    }

    @Override
    public boolean hasPeerPlacements() {
        return start.hasPeerPlacements(knownRouters(), loop.nowMillis());
    }

    /** Encodes all in-flight placements and all state of upstreams, for a router that missed updates. */
    private NewsFrame fullState() {
        NewsFrame.Builder frame = NewsFrame.newBuilder().setWhole(true);
        for (InFlightPlacements.Entry entry : inFlight.snapshot(loop.nowMillis())) {
            frame.addPlaced(GossipMessages.placed(entry.placement(), entry.limitMillis()));
            if (entry.decoding()) {
                frame.addWriting(entry.placement().id().number());
            }
        }
        upstreams.addAll(frame);
        return frame.build();
    }

    /**
     * Returns the exchange of suspected requests.
     *
     * @return the channel
     */
    public SuspectChannel suspects() {
        return upstreams.suspects();
    }

    /**
     * Returns the exchange of rate limits and permits.
     *
     * @return the channel
     */
    public LimitChannel limits() {
        return upstreams.limits();
    }

    /**
     * Returns the number of known routers, alive or not, including this one.
     *
     * @return routers
     */
    public int knownRouters() {
        return Math.max(1, peers.addresses().size());
    }

    /**
     * Returns whether this router was active according to its last heartbeat.
     *
     * @return whether other routers report placements to it
     */
    public boolean takesCallers() {
        return heartbeats != null && heartbeats.takesCallers();
    }

    /**
     * Returns the number of other active routers that can receive placements now.
     *
     * @return routers
     */
    public int placementReceivers() {
        return streams.openToActive();
    }

    /**
     * Returns the number of other active routers.
     *
     * @return routers
     */
    public int activePeers() {
        return streams.active();
    }

    /**
     * Returns the number of outbound gossip streams, open or not.
     *
     * @return streams
     */
    public int streams() {
        return streams.size();
    }

    /**
     * Returns the number of placements received from other routers.
     *
     * @return placements since the start
     */
    public long placementsReceived() {
        return placements.received();
    }

    @Override
    public void close() {
        closed = true;
        streams.close();
    }
}
