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
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.suspect.SuspectTable;
import org.apricotstack.core.upstream.DrainTable;
import org.apricotstack.core.upstream.OutlierDetector;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.publication.PublishedState;
import org.apricotstack.serving.run.PlacementGossip;
import org.apricotstack.wire.news.DocumentRequest;
import org.apricotstack.wire.news.Heartbeat;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.NewsReply;

/** Sends this router's news to all others and takes theirs in. */
public final class GossipHub implements GossipHandler, PlacementGossip, AutoCloseable {

    /** Addresses in the first heartbeat of a router from which on it need not be told of others: more than seeds. */
    private static final int KNOWS_FEW = 5;

    private final ServingLoop loop;
    private final PeerTable peers;
    private final EngineLoadTable board;
    private final PublishedState state;
    private final DecisionLog log;
    private final DocumentExchange documents;
    private final OutboundGossipStreams links;
    private final MembershipLog heardLog;
    private final FleetLimitPeers limitPeers;
    private final UpstreamGossip upstreams;
    private final RequestRate requests;
    private final InFlightPlacements open = new InFlightPlacements();
    private final StartPhase start;
    private final PlacementReceiver placements;
    private final BooleanSupplier ready;
    private final BooleanSupplier readsPlatform;
    private HeartbeatSender heartbeats;
    private PlatformGossip readings;
    private NewsFrame.Builder pending;
    private long spanMillis;
    private boolean closed;

    /**
     * Creates a hub that sends nothing yet.
     *
     * @param loop the thread
     * @param peers takes heartbeats
     * @param board takes placements
     * @param judge takes failures that others saw
     * @param suspects takes requests under which upstreams ended at others
     * @param limits takes the rate limits that upstreams named to others
     * @param drains takes the drains that upstreams announced to others
     * @param own this router's host
     * @param state takes documents that others know
     * @param log takes changes of what is believed
     * @param ready whether this router takes callers
     * @param readsPlatform whether the platform answers this router, and it follows
     * @param whenBehind called when peers know more than the platform told here
     */
    public GossipHub(
            ServingLoop loop,
            PeerTable peers,
            EngineLoadTable board,
            OutlierDetector judge,
            SuspectTable suspects,
            LimitTable limits,
            DrainTable drains,
            HostId own,
            PublishedState state,
            DecisionLog log,
            BooleanSupplier ready,
            BooleanSupplier readsPlatform,
            Runnable whenBehind) {
        this.loop = loop;
        this.peers = peers;
        this.board = board;
        this.state = state;
        this.log = log;
        this.ready = ready;
        this.readsPlatform = readsPlatform;
        this.documents = new DocumentExchange(loop, state, log, whenBehind);
        this.links = new OutboundGossipStreams(loop, peers, this::allNews);
        this.heardLog = new MembershipLog(log);
        this.start = new StartPhase(loop.nowMillis());
        this.placements = new PlacementReceiver(board, judge, state, start);
        this.limitPeers = new FleetLimitPeers(loop, own, peers, state, start, ready, this::knownRouters);
        this.upstreams = new UpstreamGossip(
                new SuspectChannel(loop, suspects, log, this::news, this::activePeers),
                new LimitChannel(loop, limits, limitPeers, log, this::news),
                new DrainChannel(loop, drains, limitPeers, log, this::news));
        this.spanMillis = loop.nowMillis();
        this.requests = new RequestRate(spanMillis);
    }

    /**
     * Begins to send heartbeats.
     *
     * @param identity who this router is
     * @param port sends and takes heartbeats of routers to which no stream is open
     */
    public void start(RouterIdentity identity, HeartbeatPort port) {
        port.take(this::datagram);
        OwnHeartbeat own = new OwnHeartbeat(loop, identity, peers, state, ready, requests, readsPlatform);
        peers.addAddress(identity.peerAddress());
        heartbeats = new HeartbeatSender(
                this, own, peers, links, port, start, identity.peerAddress(), this::intervalMillis, upstreams::any);
        upstreams.suspects().tellThrough(heartbeats);
        limitPeers.tellThrough(heartbeats, port);
        readings =
                new PlatformGossip(loop, this, state, documents, links, heartbeats, readsPlatform, this::knownRouters);
        beat();
        loop.scheduleWithFixedDelay(PlatformReaderSelection.HEARTBEAT_MILLIS, readings::tell);
    }

    /** Tells the routers of this data centre at once if more of the platform is known than they were told of. */
    public void tellNewReadings() {
        readings.tellChanges();
    }

    /**
     * Returns how many routers follow the platform at the same time, about.
     *
     * @return all of a small fleet, one of each data centre of a large one
     */
    public int platformReaders() {
        return readings == null ? 1 : readings.readers();
    }

    /**
     * Tells whether this router has to follow the platform itself.
     *
     * @return whether the fleet is small, or no other router of this data centre does so for it
     */
    public boolean mustReadPlatform() {
        return readings == null || readings.mustRead();
    }

    /** Sends a heartbeat and plans the next. */
    private void beat() {
        if (closed) {
            return;
        }
        long now = loop.nowMillis();
        peers.expire(now).forEach(gone -> removeProcess(gone, now));
        heardLog.note(peers.alive(now));
        if (now - spanMillis >= StartPhase.HEARTBEAT_MILLIS) {
            spanMillis = now;
            requests.endInterval(now);
        }
        heartbeats.beat(now);
        loop.schedule(intervalMillis(), this::beat);
    }

    /** Forgets what a router was doing that is gone. */
    private void removeProcess(ProcessId gone, long nowMillis) {
        board.removeProcess(gone, nowMillis);
        upstreams.suspects().removeProcess(gone);
    }

    /** Returns the time between two heartbeats. */
    private long intervalMillis() {
        return start.heartbeatMillis(knownRouters(), loop.nowMillis());
    }

    /**
     * Sends a heartbeat to all routers now, as when this one stops, and over all open streams too: were its datagram
     * lost, a router that stops would be named to callers for another interval.
     */
    public void heartbeat() {
        heartbeats.beatToAll(loop.nowMillis());
    }

    /**
     * Returns this router as others hear of it.
     *
     * @return what the next heartbeat says
     */
    public Peer ownPeer() {
        return heartbeats.peer();
    }

    /** Takes a datagram in. */
    private void datagram(NewsFrame frame, Address sender) {
        take(frame, new InboundGossipStream(), sender);
    }

    @Override
    public void frame(NewsFrame frame, InboundGossipStream stream) {
        if (!loop.loop().inEventLoop()) {
            loop.execute(() -> frame(frame, stream));
            return;
        }
        take(frame, stream, null);
    }

    /** Takes news in; the sender is {@code null} if they came over a stream. */
    private void take(NewsFrame frame, InboundGossipStream stream, Address sender) {
        try {
            if (frame.hasHeartbeat() && heartbeats != null) {
                takeHeartbeat(frame.getHeartbeat(), stream);
            }
            if (stream.sender() != null) {
                placements.take(frame, stream.sender(), loop.nowMillis());
            }
            upstreams.take(frame, stream.sender(), sender);
            placements.takeAvoided(frame, loop.nowMillis());
        } catch (ApricotException e) {
            log.line("news_rejected").put("problem", e.getMessage()).write();
        }
    }

    /** Takes a heartbeat in. */
    private void takeHeartbeat(Heartbeat beat, InboundGossipStream stream) {
        long now = loop.nowMillis();
        ProcessId process = new ProcessId(new HostId(beat.getHost()), beat.getIncarnation());
        stream.sender(process);
        Peer peer = GossipMessages.peer(process, beat);
        boolean isNew = links.heard(peer);
        ProcessId before = peers.recordHeartbeat(peer, now);
        if (before != null) {
            removeProcess(before, now);
        }
        beat.getPeerAddressesList().forEach(address -> peers.addAddress(Address.parse(address)));
        readings.heard(peer, beat.getReadsPlatform(), beat.getUpstreamsListed());
        if (!heartbeats.takesCallers()) {
            beat.getSilentHostsList().forEach(host -> peers.reportedSilent(new HostId(host), now));
        }
        heartbeats.openTo(peer);
        if (isNew && beat.getPeerAddressesCount() < KNOWS_FEW) {
            heartbeats.introduce(peer);
        }
    }

    @Override
    public NewsReply documents(DocumentRequest request) {
        return documents.answer(request);
    }

    @Override
    public void reply(NewsReply reply, String source) {
        documents.take(reply, source);
    }

    @Override
    public void placed(EnginePlacement placement, long limitMillis) {
        requests.count();
        open.place(placement, limitMillis, loop.nowMillis());
        heartbeats.placed();
        news().addPlaced(GossipMessages.placed(placement, limitMillis));
    }

    @Override
    public void decodeStarted(EnginePlacement placement) {
        open.startDecoding(placement.id());
        news().addWriting(placement.id().number());
    }

    @Override
    public void ended(EnginePlacement placement) {
        open.remove(placement.id());
        news().addEnded(placement.id().number());
    }

    @Override
    public void avoided(UpstreamId upstream, long avoidMillis) {
        news().addAvoided(GossipMessages.avoided(upstream, avoidMillis));
    }

    @Override
    public void drainChanged(UpstreamId upstream) {
        upstreams.drains().tell(upstream);
    }

    @Override
    public boolean hasPeerPlacements() {
        return start.hasPeerPlacements(knownRouters(), loop.nowMillis());
    }

    /** Writes all that is open and suspected, for a router that missed news. */
    private NewsFrame allNews() {
        NewsFrame.Builder frame = NewsFrame.newBuilder().setWhole(true);
        for (InFlightPlacements.Entry one : open.at(loop.nowMillis())) {
            frame.addPlaced(GossipMessages.placed(one.placement(), one.limitMillis()));
            if (one.decoding()) {
                frame.addWriting(one.placement().id().number());
            }
        }
        upstreams.addAll(frame);
        return frame.build();
    }

    /**
     * Returns what tells others of suspected requests.
     *
     * @return the channel
     */
    public SuspectChannel suspects() {
        return upstreams.suspects();
    }

    /**
     * Returns what tells others of rate limits, and asks them for permits.
     *
     * @return the channel
     */
    public LimitChannel limits() {
        return upstreams.limits();
    }

    /** Returns the frame that is sent at the end of this turn of the loop. */
    private NewsFrame.Builder news() {
        if (pending == null) {
            pending = NewsFrame.newBuilder();
            loop.execute(this::flush);
        }
        return pending;
    }

    /** Sends what was collected. */
    private void flush() {
        EncodedFrame frame = EncodedFrame.of(pending.build());
        pending = null;
        links.sendToDeciding(frame);
    }

    /**
     * Returns how many routers are known, alive or not, with this one.
     *
     * @return routers
     */
    public int knownRouters() {
        return Math.max(1, peers.addresses().size());
    }

    /**
     * Tells whether this router said in its last heartbeat that it decides on requests.
     *
     * @return whether others tell it of placements
     */
    public boolean takesCallers() {
        return heartbeats != null && heartbeats.takesCallers();
    }

    /**
     * Returns how many other routers can be told of placements now.
     *
     * @return routers
     */
    public int placementReceivers() {
        return links.openToDeciding();
    }

    /**
     * Returns how many other routers are known to decide on requests.
     *
     * @return routers
     */
    public int activePeers() {
        return links.deciding();
    }

    /**
     * Returns how many streams of news to other routers there are, open or not.
     *
     * @return streams
     */
    public int streams() {
        return links.size();
    }

    /**
     * Returns how many placements of other routers were heard of.
     *
     * @return placements since the start
     */
    public long placementsReceived() {
        return placements.heard();
    }

    @Override
    public void close() {
        closed = true;
        links.close();
    }
}
