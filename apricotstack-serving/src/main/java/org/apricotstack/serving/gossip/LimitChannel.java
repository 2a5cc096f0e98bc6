package org.apricotstack.serving.gossip;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.google.protobuf.MessageLite;
import org.apricotstack.core.id.Address;
import org.apricotstack.core.id.UpstreamId;
import org.apricotstack.core.limits.TokenBucket;
import org.apricotstack.core.ratelimit.LimitChange;
import org.apricotstack.core.ratelimit.LimitTable;
import org.apricotstack.core.ratelimit.LimitsInForce;
import org.apricotstack.core.ratelimit.PermitGrant;
import org.apricotstack.core.ratelimit.PermitIssuerSelection;
import org.apricotstack.core.ratelimit.PermitIssuerService;
import org.apricotstack.core.ratelimit.PermitTerms;
import org.apricotstack.core.ratelimit.RateLimit;
import org.apricotstack.serving.http.ServingLoop;
import org.apricotstack.serving.observe.DecisionLog;
import org.apricotstack.serving.run.LimitGossip;
import org.apricotstack.wire.news.NamedLimit;
import org.apricotstack.wire.news.NewsFrame;
import org.apricotstack.wire.news.PermitReply;
import org.apricotstack.wire.news.PermitRequest;

/**
 * Reports rate limits that upstreams advertise to the other routers, and requests permits from the permit issuers.
 *
 * <p>Permit requests and replies are datagrams: any router can ask any other one without a stream to it, and a stalled
 * stream delays none of them. A lost one costs a permit at most. Upstreams may advertise a new limit with each
 * response, so the traffic is bounded: reports and permits have a byte budget each.
 */
public final class LimitChannel implements LimitGossip {

    /**
     * Timeout for the reply of a permit issuer, in milliseconds; data centres of a region are a few milliseconds
     * apart.
     */
    private static final long REPLY_TIMEOUT_MILLIS = 120;

    /**
     * Refill rate and maximum of the byte budget for reports of limits; all control traffic has 2,000 bytes a second.
     */
    private static final double REPORT_BYTES_PER_SECOND = 300;

    private static final double MAX_REPORT_BYTES = 12_000;

    /** Refill rate and maximum of the byte budget for permit requests and replies. */
    private static final double PERMIT_BYTES_PER_SECOND = 1_000;

    private static final double MAX_PERMIT_BYTES = 10_000;

    /**
     * Shortest time between two reported changes of one limit, in milliseconds; its permit issuer learns of all of
     * them.
     */
    private static final long MIN_CHANGE_INTERVAL_MILLIS = 500;

    /**
     * Maximum number of limits that are reported when a stream opens, most recently advertised first; about 3
     * kilobytes.
     */
    private static final int MAX_REPORTED_ON_CONNECT = 64;

    private final ServingLoop loop;
    private final LimitTable table;
    private final PermitIssuerService issuerService;
    private final ColdChannel cold;
    private final LimitPeers peers;
    private final DecisionLog log;
    private final Supplier<NewsFrame.Builder> frameBuilder;
    private final TokenBucket reportBudget;
    private final TokenBucket permitBudget;
    private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();
    private final Map<UpstreamId, Long> lastReportedMillis = new HashMap<>();
    private long permitRequests;
    private long unanswered;
    private long dropped;

    /**
     * A permit request that waits for its reply.
     *
     * @param callback receives the grant, or {@code null} without a reply
     * @param timeout ends the request without a reply
     */
    private record PendingRequest(Consumer<PermitGrant> callback, ScheduledFuture<?> timeout) {}

    /**
     * Creates a channel.
     *
     * @param loop the event loop
     * @param limits the limits in force
     * @param peers the other routers
     * @param log receives the changes that other routers report
     * @param frameBuilder supplies the frame that is sent at the end of this turn of the event loop
     */
    LimitChannel(
            ServingLoop loop,
            LimitsInForce limits,
            LimitPeers peers,
            DecisionLog log,
            Supplier<NewsFrame.Builder> frameBuilder) {
        this.loop = loop;
        this.table = limits.advertised();
        this.cold = new ColdChannel(loop, limits, peers, log, frameBuilder);
        this.peers = peers;
        this.log = log;
        this.frameBuilder = frameBuilder;
        this.issuerService = new PermitIssuerService(peers.own(), limits, peers::permitIssuerOf, loop::nowMillis);
        this.reportBudget = new TokenBucket(MAX_REPORT_BYTES, nowNanos());
        this.permitBudget = new TokenBucket(MAX_PERMIT_BYTES, nowNanos());
    }

    /** Returns the current time, in nanoseconds. */
    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(loop.nowMillis());
    }

    /** Returns whether the budget allows a report of limits to all routers, and counts one that it does not allow. */
    private boolean mayReport(MessageLite message) {
        double bytes = (double) message.getSerializedSize() * Math.max(1, peers.others());
        return countIfDropped(reportBudget.take(bytes, REPORT_BYTES_PER_SECOND, MAX_REPORT_BYTES, nowNanos()) == 0);
    }

    /** Returns whether the budget allows a permit request or reply, and counts one that it does not allow. */
    private boolean maySend(MessageLite message) {
        int bytes = message.getSerializedSize();
        return countIfDropped(permitBudget.take(bytes, PERMIT_BYTES_PER_SECOND, MAX_PERMIT_BYTES, nowNanos()) == 0);
    }

    /** Counts a message that is dropped for lack of budget. */
    private boolean countIfDropped(boolean allowed) {
        dropped += allowed ? 0 : 1;
        return allowed;
    }

    @Override
    public void limitChanged(UpstreamId upstream, LimitChange change, RateLimit limit) {
        long now = loop.nowMillis();
        boolean ended = change == LimitChange.ENDED;
        Long lastMillis = lastReportedMillis.get(upstream);
        if (change == LimitChange.CHANGED && lastMillis != null && now - lastMillis < MIN_CHANGE_INTERVAL_MILLIS) {
            return;
        }
        NamedLimit message = ended
                ? LimitMessages.ended(upstream, limit.advertisedMillis(), now)
                : LimitMessages.inForce(upstream, limit, now);
        if (mayReport(message)) {
            lastReportedMillis.put(upstream, now);
            peers.openStreams();
            frameBuilder.get().addLimits(message);
            if (change != LimitChange.CHANGED) {
                peers.sendToStandby(NewsFrame.newBuilder().addLimits(message).build());
            }
        }
    }

    @Override
    public void coldChanged(UpstreamId upstream, LimitChange change) {
        cold.broadcast(upstream, change);
    }

    /** Returns whether any upstream has a rate limit or is cold, which the other routers have to learn. */
    boolean hasState() {
        return cold.hasState() || !table.isEmpty();
    }

    /** Adds known limits to a frame for a router that missed updates. */
    void addAll(NewsFrame.Builder frame) {
        cold.addAll(frame);
        if (table.isEmpty()) {
            return;
        }
        long now = loop.nowMillis();
        table.all().entrySet().stream()
                .sorted(Comparator.comparingLong(entry -> -entry.getValue().advertisedMillis()))
                .limit(MAX_REPORTED_ON_CONNECT)
                .forEach(entry -> frame.addLimits(LimitMessages.inForce(entry.getKey(), entry.getValue(), now)));
    }

    @Override
    public String permitIssuerOf(UpstreamId upstream) {
        PermitIssuerSelection issuer = issuerService.permitIssuerOf(upstream);
        return issuer.host() == null ? null : issuer.host().value();
    }

    @Override
    public void requestPermits(UpstreamId upstream, RateLimit limit, int wanted, Consumer<PermitGrant> callback) {
        PermitIssuerSelection issuer = issuerService.permitIssuerOf(upstream);
        if (issuerService.isThisRouter(issuer)) {
            callback.accept(issuerService.answer(upstream, wanted, 0));
            return;
        }
        long number = ++permitRequests;
        PermitRequest request =
                request(number, upstream, limit).setWanted(wanted).build();
        if (!send(issuer, request)) {
            callback.accept(null);
            return;
        }
        pendingRequests.put(
                number, new PendingRequest(callback, loop.schedule(REPLY_TIMEOUT_MILLIS, () -> timeOut(number))));
    }

    @Override
    public void charge(UpstreamId upstream, RateLimit limit, int requests) {
        PermitIssuerSelection issuer = issuerService.permitIssuerOf(upstream);
        if (issuerService.isThisRouter(issuer)) {
            issuerService.answer(upstream, 0, requests);
        } else {
            send(
                    issuer,
                    request(++permitRequests, upstream, limit)
                            .setCharged(requests)
                            .build());
        }
    }

    /** Starts building a permit request. */
    private PermitRequest.Builder request(long number, UpstreamId upstream, RateLimit limit) {
        RateLimit advertised = table.find(upstream);
        long now = loop.nowMillis();
        return PermitRequest.newBuilder()
                .setNumber(number)
                .setLimit(
                        advertised == null && limit.terms() == PermitTerms.EVERY_SECOND
                                ? LimitMessages.notNamed(upstream, limit, now)
                                : LimitMessages.inForce(upstream, advertised == null ? limit : advertised, now));
    }

    /** Sends a permit request to a permit issuer, if it can be reached. */
    private boolean send(PermitIssuerSelection issuer, PermitRequest request) {
        Address address = issuer.host() == null ? null : peers.addressOf(issuer.host());
        if (address == null || !maySend(request)) {
            return false;
        }
        NewsFrame.Builder frame = NewsFrame.newBuilder().addPermitRequests(request);
        cold.addTo(frame, LimitMessages.upstream(request.getLimit()));
        peers.send(address, frame.build());
        return true;
    }

    /** Ends a permit request whose reply did not arrive in time. */
    private void timeOut(long number) {
        PendingRequest pendingRequest = pendingRequests.remove(number);
        if (pendingRequest != null) {
            unanswered++;
            pendingRequest.callback().accept(null);
        }
    }

    /**
     * Applies reported limits, and handles permit requests and replies.
     *
     * @param frame the state update
     * @param sender where a datagram came from, or {@code null} for a stream
     */
    void receive(NewsFrame frame, Address sender) {
        cold.receive(frame, sender);
        frame.getLimitsList().forEach(reported -> receiveLimit(reported, sender == null ? "news" : sender.toString()));
        if (sender != null) {
            frame.getPermitRequestsList().forEach(request -> answer(request, sender));
            frame.getPermitRepliesList().forEach(reply -> receiveReply(reply, sender));
        }
    }

    /** Applies a limit that another router learned from a response of the upstream. */
    private void receiveLimit(NamedLimit reported, String source) {
        UpstreamId upstream = LimitMessages.upstream(reported);
        if (peers.isSuperseded(upstream)) {
            return;
        }
        long now = loop.nowMillis();
        RateLimit limit = LimitMessages.limit(reported, now);
        LimitChange change = reported.getEnded()
                ? table.limitEnded(upstream, limit.advertisedMillis())
                : table.reportedByPeer(upstream, limit);
        if (change != LimitChange.NONE) {
            log.line("limit_" + change.code())
                    .put("upstream", upstream.value())
                    .put("incarnation", upstream.incarnation())
                    .put("per_second", Double.toString(limit.perSecond()))
                    .put("ago_millis", reported.getAgoMillis())
                    .put("source", source)
                    .put("keeper", permitIssuerOf(upstream))
                    .write();
        }
    }

    /** Replies to a permit request. */
    private void answer(PermitRequest request, Address sender) {
        UpstreamId upstream = LimitMessages.upstream(request.getLimit());
        if (!request.getLimit().getNotNamed()) {
            receiveLimit(request.getLimit(), sender.toString());
        }
        PermitGrant grant = issuerService.answer(upstream, request.getWanted(), request.getCharged());
        if (request.getWanted() == 0) {
            return;
        }
        PermitReply.Builder reply = PermitReply.newBuilder()
                .setNumber(request.getNumber())
                .setGranted(grant.permits())
                .setAgainMillis(grant.retryAfterMillis());
        long now = loop.nowMillis();
        RateLimit known = table.find(upstream);
        Long endMillis = table.endMillis(upstream);
        if (known != null && known.perSecond() != request.getLimit().getPerSecond()) {
            reply.setLimit(LimitMessages.inForce(upstream, known, now));
        } else if (endMillis != null) {
            reply.setLimit(LimitMessages.ended(upstream, endMillis, now));
        }
        PermitReply message = reply.build();
        if (maySend(message)) {
            peers.send(sender, NewsFrame.newBuilder().addPermitReplies(message).build());
        }
    }

    /** Completes the permit request that a reply belongs to. */
    private void receiveReply(PermitReply reply, Address sender) {
        PendingRequest pendingRequest = pendingRequests.remove(reply.getNumber());
        if (reply.hasLimit()) {
            receiveLimit(reply.getLimit(), sender.toString());
        }
        if (pendingRequest != null) {
            pendingRequest.timeout().cancel(false);
            pendingRequest.callback().accept(new PermitGrant(reply.getGranted(), reply.getAgainMillis()));
        }
    }

    /** Drops the state of upstreams that have no limit any more. */
    public void expire() {
        issuerService.expire();
        cold.expire();
        if (!lastReportedMillis.isEmpty()) {
            lastReportedMillis.keySet().removeIf(upstream -> table.find(upstream) == null);
        }
    }

    /**
     * Returns the number of permit requests without a reply in time.
     *
     * @return requests since the start
     */
    public long unanswered() {
        return unanswered;
    }

    /**
     * Returns the number of messages that were dropped for lack of budget.
     *
     * @return messages since the start
     */
    public long dropped() {
        return dropped;
    }

    /**
     * Returns the number of upstreams whose permits this router issues.
     *
     * @return upstreams
     */
    public int kept() {
        return issuerService.issuedLimits();
    }
}
